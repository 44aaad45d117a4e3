// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

// The records of the duties' log: one topic of our own in the platform's store, with one partition. Each record is
// appended under the condition that the log ends where its writer read up to, so the log is one sequence that every
// router sees alike.
namespace Brassladder::RouteServing::Duties {

// Requests that began to run, by workspace.
using WorkspaceCounts = std::map<std::string, uint64_t, std::less<>>;

// Who holds the duties. Written to claim, to renew and to release the lease.
struct LeaseRecord {
    std::string holder; // Id of the instance.
    uint64_t incarnation { 0 }; // Of its process.
    uint64_t token { 0 }; // The fencing token, which follows from where the record stands that claimed it (tokenAt).
    bool isReleased { false };
    uint64_t firstUnreported { 0 }; // Usage windows before this one were accepted, or are given up.
    bool operator==(const LeaseRecord&) const = default;
};

// The counts of one usage window, written once, before they are sent for the first time.
struct WindowRecord {
    uint64_t token { 0 }; // Under which it was written.
    uint64_t window { 0 };
    WorkspaceCounts counts;
    bool operator==(const WindowRecord&) const = default;
};

using DutyRecord = std::variant<LeaseRecord, WindowRecord>;

// So many windows are kept on the log: more than can be due at one time, and each takes the place of an older one.
inline constexpr uint64_t maxLoggedWindows = 16;

// The key under which the log keeps the newest record of its kind.
std::string keyOf(const DutyRecord&);
std::string encode(const DutyRecord&);
// None when the text is not such a record; another writer's bytes hold nothing.
std::optional<DutyRecord> decode(std::string_view key, std::string_view text);

} // namespace Brassladder::RouteServing::Duties
