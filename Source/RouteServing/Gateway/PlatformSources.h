// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Inner/Mesh.h"
#include "RouteServing/Duties/CapacityPlan.h"
#include "RouteServing/Duties/DutyRecord.h"
#include "RouteServing/Duties/Lease.h"
#include "RouteServing/Gateway/SuspectCodec.h"
#include "RouteServing/Routing/Roster.h"
#include "RouteServing/Routing/RouteTable.h"
#include "RouteServing/Routing/Upstream.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Hooks through which a router accesses the platform's state; an adapter implements them. Unless stated otherwise, at
// most one fiber at a time calls a hook, and the hook may suspend that fiber. The only error is PlatformUnavailable:
// the current state is unknown.
namespace Brassladder::RouteServing::Gateway {

// One version of the configuration: the compiled table, and the original text that is sent to other routers.
struct Configuration {
    Routing::RouteTable table;
    std::string text;
};
using ConfigurationPtr = std::shared_ptr<const Configuration>;

struct ConfigurationSource {
    // Waits up to `wait` for a version that it has not returned before, and returns null if there is none. Unless it is
    // an error, the result confirms that the platform had accepted no version newer than the last one returned when the
    // call was made.
    std::function<Common::Result<ConfigurationPtr>(Common::Milliseconds wait)> read;
    // Returns null if the text is not a valid configuration.
    std::function<ConfigurationPtr(std::string_view text)> parse;
};

// A complete list of upstreams at one point in time.
using UpstreamListPtr = std::shared_ptr<const std::vector<Routing::UpstreamRecord>>;

struct UpstreamSource {
    // Returns the current list, never null. Returns the same object while the list is unchanged.
    std::function<Common::Result<UpstreamListPtr>()> read;
    // Returns whether the last list states which failure domains are evacuated. If it does not, because the platform
    // has not told in time, the marks of an earlier list are still valid.
    std::function<bool()> knowsEvacuations { [] { return true; } };
};

// The fleet's roster. Routers announce themselves when they start; the list keeps routers that have ended.
struct RosterSource {
    std::function<Common::Status(const Routing::RosterEntry& self)> announce;
    // Returns the changes since the last read. The first read returns all entries.
    std::function<Common::Result<std::vector<Routing::RosterEntry>>()> read;
};

// Persistent storage of suspects that must outlive all routers (SuspectGuard.h). Several fibers may call a hook
// concurrently.
struct SuspectLogSource {
    struct Contents {
        std::vector<StoredSuspect> suspects; // Only records that could be decoded.
        uint64_t end { 0 }; // Offset of the next record.
    };
    std::function<Common::Result<Contents>()> read;
    // append() writes a suspect and drop() removes one, if the log ends at `expectedEnd`. Both return whether they did.
    // After an error, the change may have been made.
    std::function<Common::Result<bool>(const StoredSuspect&, uint64_t expectedEnd)> append;
    std::function<Common::Result<bool>(const Routing::RequestIdentity&, uint64_t expectedEnd)> drop;
};

// The log of the fleet's duties (Duties/DutyRecord.h).
struct DutyLogSource {
    struct Changes {
        std::vector<Duties::LoggedRecord> records; // In the order of their offsets.
        Duties::LogEnd end;
    };
    // Returns the records that were appended since the last call, and waits up to `wait` for one. The first call, and
    // the first one in a new era (Duties/Lease.h), returns the newest record of each key.
    std::function<Common::Result<Changes>(Common::Milliseconds wait)> read;
    // Appends a record if the log ends at `expectedEnd`, and returns whether it did. After an error the record may have
    // been appended, or may still be appended under the same condition.
    std::function<Common::Result<bool>(const Duties::DutyRecord&, uint64_t expectedEnd)> append;
};

// The instance and fencing token under which a duty call is made.
struct DutyCaller {
    std::string holder; // Instance id.
    uint64_t token { 0 };
};

enum class DutyCallOutcome : uint8_t {
    Accepted,
    Conflict, // The platform has seen a higher token, or it has no capacity for the order now.
    Busy, // Not performed: too many calls, or the platform is unavailable.
    Rejected, // Not performed because the call is invalid; a retry cannot succeed.
    NoResponse, // The call may have been performed, or may still be performed.
};

// Calls that the platform accepts only from the holder of the duties.
struct DutyCalls {
    std::function<DutyCallOutcome(const DutyCaller&, const Duties::WindowRecord&)> reportUsage;
    std::function<DutyCallOutcome(const DutyCaller&, const Duties::CapacityOrder&)> orderCapacity;
};

struct PlatformSources {
    ConfigurationSource configuration;
    UpstreamSource upstreams;
    RosterSource roster;
    std::optional<SuspectLogSource> suspects {};
    // Both are nullopt if no address for duty calls is configured. The fleet then performs no duties.
    std::optional<DutyLogSource> dutyLog {};
    std::optional<DutyCalls> dutyCalls {};
};

} // namespace Brassladder::RouteServing::Gateway
