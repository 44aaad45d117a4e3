// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

// Records of the duty log: a topic of the fleet in the platform's store, with one partition. An append succeeds only if
// its writer has read the log up to its end, so the writer of each record had read all earlier ones.
namespace Brassladder::RouteServing::Duties {

// Requests that began to run, by workspace.
using WorkspaceCounts = std::map<std::string, uint64_t, std::less<>>;

// The holder of the duties. Written to claim, renew and release the lease.
struct LeaseRecord {
    std::string holder; // Id of the instance.
    uint64_t incarnation { 0 }; // Incarnation of the holder's process.
    uint64_t token { 0 }; // Fencing token, derived from the position of the claim in the log (see tokenAt).
    bool isReleased { false };
    // The first window whose report is outstanding. Earlier reports were accepted, rejected or given up.
    uint64_t firstUnreported { 0 };
    bool operator==(const LeaseRecord&) const = default;
};

// Counts of one usage window. Appended once, before they are first sent.
struct WindowRecord {
    uint64_t token { 0 }; // Token of the writer.
    uint64_t window { 0 };
    WorkspaceCounts counts;
    bool operator==(const WindowRecord&) const = default;
};

using DutyRecord = std::variant<LeaseRecord, WindowRecord>;

// Number of windows that the log retains; a newer window replaces the oldest one. Must exceed the number of windows
// whose reports can be due at one time.
inline constexpr uint64_t maxLoggedWindows = 16;

// Returns the compaction key: the log retains the newest record of each key.
std::string keyOf(const DutyRecord&);
std::string encode(const DutyRecord&);
// Returns nullopt if the text is not a valid record for this key.
std::optional<DutyRecord> decode(std::string_view key, std::string_view text);

} // namespace Brassladder::RouteServing::Duties
