// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Duties/DutyRecord.h"

#include "Common/Json.h"

namespace Brassladder::RouteServing::Duties {

using Common::Json;

static constexpr std::string_view leaseKey = "lease";
static constexpr std::string_view windowKeyPrefix = "window.";

std::string keyOf(const DutyRecord& record)
{
    if (const auto* window = std::get_if<WindowRecord>(&record))
        return std::string(windowKeyPrefix) + std::to_string(window->window % maxLoggedWindows);
    return std::string(leaseKey);
}

std::string encode(const DutyRecord& record)
{
    if (const auto* window = std::get_if<WindowRecord>(&record))
        return Common::dumpJson(
            { { "token", window->token }, { "window", window->window }, { "counts", window->counts } });
    const auto& lease = std::get<LeaseRecord>(record);
    return Common::dumpJson({ { "holder", lease.holder }, { "incarnation", lease.incarnation },
        { "token", lease.token }, { "released", lease.isReleased }, { "first_unreported", lease.firstUnreported } });
}

static std::optional<uint64_t> unsignedMember(const Json& json, std::string_view name)
{
    auto found = json.find(name);
    if (found == json.end() || !found->is_number_unsigned())
        return std::nullopt;
    return found->get<uint64_t>();
}

static std::optional<DutyRecord> decodeLease(const Json& json)
{
    auto incarnation = unsignedMember(json, "incarnation");
    auto token = unsignedMember(json, "token");
    auto firstUnreported = unsignedMember(json, "first_unreported");
    auto holder = Common::member<std::string>(json, "holder", "");
    if (!incarnation || !token || !firstUnreported || holder.empty())
        return std::nullopt;
    return LeaseRecord { std::move(holder), *incarnation, *token, Common::member(json, "released", false),
        *firstUnreported };
}

static std::optional<WorkspaceCounts> decodeCounts(const Json& json)
{
    if (!json.is_object())
        return std::nullopt;
    WorkspaceCounts counts;
    for (const auto& [workspace, count] : json.items()) {
        if (!count.is_number_unsigned())
            return std::nullopt;
        counts.emplace(workspace, count.get<uint64_t>());
    }
    return counts;
}

static std::optional<DutyRecord> decodeWindow(const Json& json)
{
    auto token = unsignedMember(json, "token");
    auto window = unsignedMember(json, "window");
    auto counts = json.contains("counts") ? decodeCounts(json["counts"]) : std::nullopt;
    if (!token || !window || !counts)
        return std::nullopt;
    return WindowRecord { *token, *window, std::move(*counts) };
}

std::optional<DutyRecord> decode(std::string_view key, std::string_view text)
{
    auto json = Common::parseJson(text);
    if (!json.is_object())
        return std::nullopt;
    auto record = key == leaseKey ? decodeLease(json) : decodeWindow(json);
    return record && keyOf(*record) == key ? record : std::nullopt;
}

} // namespace Brassladder::RouteServing::Duties
