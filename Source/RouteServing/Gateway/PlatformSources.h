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

// Where the gateway reads the platform's state, as hooks that an adapter fills. Each hook is called by one fiber at a
// time and may suspend it. The only error is PlatformUnavailable: the present state is not known.
namespace Brassladder::RouteServing::Gateway {

// One version of the configuration: compiled, and as the operators wrote it, to send it to other routers.
struct Configuration {
    Routing::RouteTable table;
    std::string text;
};
using ConfigurationPtr = std::shared_ptr<const Configuration>;

struct ConfigurationSource {
    // Waits up to `wait` for a version that it has not returned before; null when there is none. A value, also null,
    // confirms that no newer version had been accepted when the call was made.
    std::function<Common::Result<ConfigurationPtr>(Common::Milliseconds wait)> read;
    // Null when the text is not a configuration.
    std::function<ConfigurationPtr(std::string_view text)> parse;
};

// A whole list of upstreams, in the state of one moment.
using UpstreamListPtr = std::shared_ptr<const std::vector<Routing::UpstreamRecord>>;

struct UpstreamSource {
    // The present list, never null: the same object again as long as it has not changed.
    std::function<Common::Result<UpstreamListPtr>()> read;
};

// The routers of the fleet, as they announced themselves at their start. Those that have ended are still listed.
struct RosterSource {
    std::function<Common::Status(const Inner::Peer& self)> announce;
    // What changed since the last read; at the first one, all of it.
    std::function<Common::Result<std::vector<Routing::RosterEntry>>()> read;
};

// Where suspects are kept that must outlive all routers (SuspectGuard.h). Each hook may be called by several fibers.
struct SuspectLogSource {
    struct Contents {
        std::vector<StoredSuspect> suspects; // Those that are readable.
        uint64_t end { 0 }; // Of the log: where the next record goes.
    };
    std::function<Common::Result<Contents>()> read;
    // Writes a suspect, or drops it, provided that the log ends at `expectedEnd`; whether it did. After an error it may
    // have been done all the same.
    std::function<Common::Result<bool>(const StoredSuspect&, uint64_t expectedEnd)> append;
    std::function<Common::Result<bool>(const Routing::RequestIdentity&, uint64_t expectedEnd)> drop;
};

// The log of the fleet's duties (Duties/DutyRecord.h).
struct DutyLogSource {
    struct Changes {
        std::vector<Duties::LoggedRecord> records; // By offset.
        Duties::LogEnd end;
    };
    // What was written since the last call, or at the first one and in a new era the newest record of each key; waits
    // up to `wait` for something.
    std::function<Common::Result<Changes>(Common::Milliseconds wait)> read;
    // Appends a record, provided that the log ends at `expectedEnd`; whether it did. After an error the record may be
    // there all the same, or be appended later on the same condition.
    std::function<Common::Result<bool>(const Duties::DutyRecord&, uint64_t expectedEnd)> append;
};

// In whose name a duty is done.
struct DutyCaller {
    std::string holder; // Id of the instance.
    uint64_t token { 0 }; // Its fencing token.
};

enum class DutyCallOutcome : uint8_t {
    Accepted,
    Conflict, // A higher token was seen; or, for an order of capacity, there is none to be had now.
    Busy, // Not done: too many calls, or the platform is not available.
    Rejected, // Not done, and never will be: the call is not valid.
    NoResponse, // It may be done, also later.
};

// Calls that the platform accepts from the holder of the duties only.
struct DutyCalls {
    std::function<DutyCallOutcome(const DutyCaller&, const Duties::WindowRecord&)> reportUsage;
    std::function<DutyCallOutcome(const DutyCaller&, const Duties::CapacityOrder&)> orderCapacity;
};

struct PlatformSources {
    ConfigurationSource configuration;
    UpstreamSource upstreams;
    RosterSource roster;
    std::optional<SuspectLogSource> suspects {};
    // Without an address for them, the fleet has no duties.
    std::optional<DutyLogSource> dutyLog {};
    std::optional<DutyCalls> dutyCalls {};
};

} // namespace Brassladder::RouteServing::Gateway
