// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Duties/DutyRecord.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// How many requests of each workspace began to run in each usage window, over the whole fleet. A window is a span of
// the wall clock; windows are numbered from the start of 1970.
namespace Brassladder::RouteServing::Duties {

// One process of a router. Its counts only rise.
struct RouterProcess {
    std::string id;
    uint64_t incarnation { 0 };
    auto operator<=>(const RouterProcess&) const = default;
};

// What one process counted, as far as it is passed on.
struct RouterUsage {
    struct Row {
        uint64_t window { 0 };
        std::string workspace;
        uint64_t count { 0 };
        bool operator==(const Row&) const = default;
    };
    RouterProcess router;
    uint64_t firstCompleteWindow { 0 }; // The first window that it counted from the window's start on.
    uint64_t openWindow { 0 }; // Windows before this one are final.
    std::vector<Row> rows;
    bool operator==(const RouterUsage&) const = default;
};

// The counts that this router knows of: its own and those that it received. Counts are cumulative by process and merged
// by their maximum, so a message may be lost, doubled, late, or arrive by two ways. Not safe for several threads.
class UsageLedger {
public:
    // `openWindow`: the window that is open when this process starts.
    UsageLedger(RouterProcess self, uint64_t openWindow);

    // A request of the workspace began to run now.
    void count(std::string_view workspace, uint64_t openWindow);
    // The wall clock has come to this window. Windows that can no longer be due are forgotten.
    void advance(uint64_t openWindow);
    void merge(std::span<const RouterUsage>);
    // This process counts nothing more: all of its windows are final.
    void finish();

    // Rises with each change.
    uint64_t revision() const { return m_revision; }
    // The first changes after a revision, about `maxRows` rows, and the revision that they lead to.
    struct Changes {
        std::vector<RouterUsage> routers;
        uint64_t upTo { 0 };
    };
    Changes changesAfter(uint64_t revision, size_t maxRows = defaultMaxRows) const;

    WorkspaceCounts total(uint64_t window) const;
    // Whether all processes that are known to have been up in the window, or before it and not since, say that it is
    // final.
    bool isFinal(uint64_t window) const;
    // Whether some process counted the window from its start to its end.
    bool isFullyCounted(uint64_t window) const;
    // Processes that have not said so.
    size_t unfinishedProcesses(uint64_t window) const;

    // Windows that are kept, the open one included: those that are due within two windows of their end (the users'
    // sheets), and one for a report that is late.
    static constexpr uint64_t retainedWindows = 4;
    // About 20 KB on the wire.
    static constexpr size_t defaultMaxRows = 2000;

private:
    // Ids are kept once: a store reader of 295 routers with 40 workspaces holds 47,000 rows.
    struct Row {
        uint32_t workspace { 0 };
        uint32_t count { 0 };
        uint64_t revision { 0 };
    };
    struct Process {
        uint64_t firstCompleteWindow { 0 };
        uint64_t openWindow { 0 };
        uint64_t revision { 0 }; // Of the two above.
        std::map<uint64_t, std::vector<Row>> windows;
    };

    uint32_t indexOf(std::string_view workspace);
    void raiseCount(Process&, uint64_t window, uint32_t workspace, uint32_t count);
    bool isRetained(uint64_t window) const { return window >= m_open || m_open - window < retainedWindows; }
    uint64_t revisionAfter(uint64_t revision, size_t maxRows) const;
    bool hasUnfinishedWindow(const Process&, uint64_t window) const;

    RouterProcess m_self;
    uint64_t m_open;
    uint64_t m_revision { 0 };
    std::vector<std::string> m_workspaces;
    std::map<std::string, uint32_t, std::less<>> m_workspaceIndex;
    std::map<RouterProcess, Process> m_processes;
};

} // namespace Brassladder::RouteServing::Duties
