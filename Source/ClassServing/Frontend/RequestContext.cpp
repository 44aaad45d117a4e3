// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Frontend/RequestContext.h"

#include "Common/Digest.h"

#include <charconv>

namespace Brassladder::ClassServing::Frontend {

using Common::ErrorKind;
using Common::Result;

static constexpr std::string_view bearerPrefix = "Bearer ";
// Documented in docs/INTERFACE.md.
static constexpr size_t maxIdempotencyKeyBytes = 256;

static Result<std::optional<uint32_t>> readAttempt(std::string_view text)
{
    if (text.empty())
        return std::optional<uint32_t> {};
    uint32_t attempt = 0;
    auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), attempt);
    if (problem != std::errc {} || end != text.data() + text.size() || !attempt)
        return Common::makeError(ErrorKind::BadRequest, "Brassladder-Attempt must be an integer of at least 1");
    return std::optional<uint32_t>(attempt);
}

static Common::Status readIdempotencyKey(RequestContext& context)
{
    auto key = context.exchange.header("Idempotency-Key");
    if (key.size() > maxIdempotencyKeyBytes)
        return Common::makeError(ErrorKind::BadRequest, "Idempotency-Key is longer than 256 bytes");
    auto attempt = readAttempt(context.exchange.header("Brassladder-Attempt"));
    if (isError(attempt))
        return errorOf(attempt);
    context.attempt = valueOf(attempt);
    if (key.empty() || !context.requestClass->noRepeat)
        return Common::Done {};
    if (context.requestClass->vouchedAttempts && !context.attempt)
        return Common::makeError(ErrorKind::BadRequest,
            "requests of this class with an Idempotency-Key must carry the header Brassladder-Attempt");
    context.claimKey = Common::sha256Hex(context.workspace->name + "\n" + std::string(key));
    return Common::Done {};
}

Result<RequestContext> classify(
    Common::HttpExchange& exchange, std::shared_ptr<const Config::Table> table, Explanations& explanations)
{
    auto authorization = exchange.header("Authorization");
    if (!authorization.starts_with(bearerPrefix))
        return Common::makeError(ErrorKind::Unauthenticated, "the header `Authorization: Bearer KEY` is missing");
    const auto* workspace = table->workspaceOfKey(authorization.substr(bearerPrefix.size()));
    if (!workspace)
        return Common::makeError(ErrorKind::Unauthenticated, "the key does not belong to any workspace");
    auto className = exchange.header("Brassladder-Class");
    if (className.empty())
        className = workspace->defaultClass;
    bool allowed
        = std::find(workspace->classes.begin(), workspace->classes.end(), className) != workspace->classes.end();
    auto requestClass = table->requestClass(className);
    if (!allowed || !requestClass)
        return Common::makeError(ErrorKind::ForbiddenClass, "the workspace may not use this class");
    RequestContext context { exchange };
    context.requestId = Common::randomId();
    context.table = std::move(table);
    context.workspace = workspace;
    context.requestClass = std::move(requestClass);
    context.arrivedAt = Common::now();
    context.signal = std::make_shared<Dispatch::RequestSignal>();
    if (auto status = readIdempotencyKey(context); isError(status))
        return errorOf(status);
    context.explanation = explanations.open(context.requestId, workspace->name, context.policy().name);
    return context;
}

} // namespace Brassladder::ClassServing::Frontend
