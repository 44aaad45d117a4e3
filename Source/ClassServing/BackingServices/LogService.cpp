// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/BackingServices/LogService.h"

#include "Common/HttpClient.h"
#include "Common/TargetBuilder.h"

namespace Brassladder::ClassServing::BackingServices {

using Common::ErrorKind;
using Common::Json;
using Common::member;

// Timeouts of one call. A long poll adds its wait to the response timeout.
static constexpr Common::Milliseconds connectTimeout { 500 };
static constexpr Common::Milliseconds responseTimeout { 2000 };

std::string claimStream(uint32_t partition) { return "claims-" + std::to_string(partition); }

static Common::TargetBuilder recordsTarget(std::string_view stream)
{
    return Common::TargetBuilder("/streams").segment(stream).segment("records");
}

static Common::Error unavailable(Common::Ran ran, std::string message)
{
    auto error = Common::makeError(ErrorKind::PlatformUnavailable, std::move(message));
    error.ran = ran;
    return error;
}

static Common::Result<uint64_t> append(const Common::Endpoint& endpoint, std::string_view stream, std::string_view data)
{
    Common::HttpClientRequest call;
    call.method = "POST";
    call.target = recordsTarget(stream).build();
    call.body = data;
    call.connectTimeout = connectTimeout;
    call.responseTimeout = responseTimeout;
    auto answer = Common::callOnce(endpoint, call);
    if (isError(answer))
        return unavailable(errorOf(answer).ran, "log append: " + errorOf(answer).message);
    if (valueOf(answer).status != 200)
        return unavailable(Common::Ran::Maybe, "log append: status " + std::to_string(valueOf(answer).status));
    auto offset = member<uint64_t>(Common::parseJson(valueOf(answer).body), "offset", 0);
    if (!offset)
        return unavailable(Common::Ran::Maybe, "log append: response has no offset");
    return offset;
}

static Common::Result<LogPage> read(
    const Common::Endpoint& endpoint, std::string_view stream, uint64_t from, Common::Milliseconds wait)
{
    Common::HttpClientRequest call;
    call.target = recordsTarget(stream)
                      .parameter("from", from)
                      .parameter("wait_ms", static_cast<uint64_t>(wait.count()))
                      .build();
    call.connectTimeout = connectTimeout;
    call.responseTimeout = responseTimeout + wait;
    auto answer = Common::callOnce(endpoint, call);
    if (isError(answer))
        return unavailable(Common::Ran::No, "log read: " + errorOf(answer).message);
    Json body = Common::parseJson(valueOf(answer).body);
    if (valueOf(answer).status != 200 || !body.is_object() || !body.contains("records") || !body["records"].is_array())
        return unavailable(Common::Ran::No,
            "log read: expected status 200 with records, got status " + std::to_string(valueOf(answer).status));
    LogPage page;
    page.firstOffset = member<uint64_t>(body, "first", 1);
    page.nextOffset = member<uint64_t>(body, "next", 1);
    page.nowMs = member<int64_t>(body, "now_ms", 0);
    page.retentionMs = member<int64_t>(body, "retention_ms", 0);
    for (const auto& record : body["records"])
        page.records.push_back({ member<uint64_t>(record, "offset", 0), member<int64_t>(record, "time_ms", 0),
            member<std::string>(record, "data", "") });
    return page;
}

LogService httpLogService(const Common::Endpoint& endpoint)
{
    LogService service;
    service.append
        = [endpoint](std::string_view stream, std::string_view data) { return append(endpoint, stream, data); };
    service.read = [endpoint](std::string_view stream, uint64_t from, Common::Milliseconds wait) {
        return read(endpoint, stream, from, wait);
    };
    return service;
}

} // namespace Brassladder::ClassServing::BackingServices
