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
// Memory of a parsed body for each byte of its text: one of many short strings.
static constexpr size_t parsedBytesPerByte = 24;
// How long a request may wait for the memory to parse its body.
static constexpr Common::Milliseconds maxParseWait { 2000 };

static uint64_t prefixHash(const Json& messages)
{
    auto text = Common::dumpJson(messages.front());
    return Common::stableHash(std::string_view(text).substr(0, prefixBytes));
}

namespace {

// What is kept of the body of a chat request. The parsed body may need many times its text.
struct ChatRequest {
    uint64_t prefixHash { 0 };
    bool isStreaming { false };
    std::string engineBody; // The body of the request to the engine.
};

} // namespace

// Returns nullopt if the body is not a chat request.
static std::optional<ChatRequest> parseChatRequest(std::string_view text)
{
    Json body = Common::parseJson(text);
    bool isValid
        = body.is_object() && body.contains("messages") && body["messages"].is_array() && !body["messages"].empty();
    if (!isValid)
        return std::nullopt;
    ChatRequest request;
    request.isStreaming = Common::member<bool>(body, "stream", false);
    request.prefixHash = prefixHash(body["messages"]);
    body["stream"] = true;
    request.engineBody = Common::dumpJson(body);
    return request;
}

static Status refuse(const RequestContext& context, const Common::Error& error)
{
    auto response = Common::errorResponse(error);
    response.headers.push_back({ std::string(requestIdHeader), context.requestId });
    context.exchange.respond(response);
    return error;
}

Status ChatHandler::handle(RequestContext& context)
{
    const auto& body = context.exchange.request().body();
    auto& exchange = context.exchange;
    if (!exchange.reserveResponse(parsedBytesPerByte * body.size(), context.arrivedAt + maxParseWait))
        return refuse(
            context, Common::makeError(ErrorKind::InstanceFull, "the instance has no memory for the request"));
    auto request = parseChatRequest(body);
    // Less than before: always granted.
    exchange.reserveResponse(0, Common::now());
    bool isValid = request.has_value();
    if (!request)
        request.emplace();
    context.prefixHash = request->prefixHash;
    Generation generation(context, std::move(request->engineBody), request->isStreaming, m_timeouts);
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
