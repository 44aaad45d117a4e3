// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Frontend/ChatHandler.h"

#include "ClassServing/Frontend/Generation.h"
#include "ClassServing/Frontend/RequestMetrics.h"
#include "Common/Digest.h"

namespace Brassladder::ClassServing::Frontend {

using Common::ErrorKind;
using Common::Json;
using Common::Status;

// Prompts with the same first kilobyte are assumed to share a prefix in an engine's KV cache.
static constexpr size_t prefixBytes = 1024;

static uint64_t prefixHash(const Json& messages)
{
    auto text = Common::dumpJson(messages.front());
    return Common::stableHash(std::string_view(text).substr(0, prefixBytes));
}

Status ChatHandler::handle(RequestContext& context)
{
    Json body = Common::parseJson(context.exchange.request().body());
    bool isValid
        = body.is_object() && body.contains("messages") && body["messages"].is_array() && !body["messages"].empty();
    bool streaming = isValid && Common::member<bool>(body, "stream", false);
    if (isValid) {
        context.prefixHash = prefixHash(body["messages"]);
        body["stream"] = true;
    }
    Generation generation(context, isValid ? Common::dumpJson(body) : std::string(), streaming, m_timeouts);
    Status status = Common::Done {};
    if (!isValid)
        status = Common::makeError(ErrorKind::BadRequest,
            "the body must be a JSON object with a non-empty array `messages`, and must not be nested too deeply");
    else
        status = m_loop.run(
            context, [&](const Membership::Upstream& upstream) { return generation.runOnEngine(upstream); });
    if (isError(status)) {
        generation.finishWithError(errorOf(status));
        return status;
    }
    RequestMetrics::completed(context.policy().name, generation.tokens());
    generation.finishResponse();
    return status;
}

} // namespace Brassladder::ClassServing::Frontend
