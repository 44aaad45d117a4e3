// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Duties/DutyRecord.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// Counts of requests that began to run, by workspace and usage window, over the whole fleet. A window is a span of
// wall-clock time; windows are numbered from the Unix epoch.
namespace Brassladder::RouteServing::Duties {

// One process of a router.
struct RouterProcess {
    std::string id;
    uint64_t incarnation { 0 };
    auto operator<=>(const RouterProcess&) const = default;
};

// Counts of one process, as exchanged between routers.
struct RouterUsage {
    struct Row {
        uint64_t window { 0 };
        std::string workspace;
        uint64_t count { 0 };
        bool operator==(const Row&) const = default;
    };
    RouterProcess router;
    uint64_t firstCompleteWindow { 0 }; // The first window during all of which the process was running.
    uint64_t openWindow { 0 }; // Windows before this one are final.
    std::vector<Row> rows;
    bool operator==(const RouterUsage&) const = default;
};

// Counts of this router and counts received from other routers. They never decrease within a process and are merged by
// maximum, so messages may be lost, duplicated, delayed or received over several paths. Not thread-safe.
class UsageLedger {
public:
    // `openWindow`: the current window when this process starts.
    UsageLedger(RouterProcess self, uint64_t openWindow);

    // Counts a request of the workspace that begins to run now.
    void count(std::string_view workspace, uint64_t openWindow);
    // Advances to the current window. Evicts windows that can no longer be due.
    void advance(uint64_t openWindow);
    void merge(std::span<const RouterUsage>);
    // Marks all windows of this process as final.
    void finish();

    // Increases with each change.
    uint64_t revision() const { return m_revision; }
    // Returns the changes after `revision`, the oldest first and at most `maxRows`, and the revision that a receiver
    // has after it has merged them.
    struct Changes {
        std::vector<RouterUsage> routers;
        uint64_t upTo { 0 };
    };
    Changes changesAfter(uint64_t revision, size_t maxRows = defaultMaxRows) const;

    WorkspaceCounts total(uint64_t window) const;
    // Returns whether all known processes that may have counted the window have finished it.
    bool isFinal(uint64_t window) const;
    // Returns whether at least one process counted the window from start to end.
    bool isFullyCounted(uint64_t window) const;
    // Returns the number of processes that have not finished the window.
    size_t unfinishedProcesses(uint64_t window) const;

    // Number of retained windows, including the open one. With default settings, a report is due two windows after the
    // end of its window; one more window allows for a late report.
    static constexpr uint64_t retainedWindows = 4;
    // Limits a message to about 20 KB.
    static constexpr size_t defaultMaxRows = 2000;

private:
    // Rows refer to workspaces by index to save memory in large fleets.
    struct Row {
        uint32_t workspace { 0 };
        uint32_t count { 0 };
        uint64_t revision { 0 };
    };
    struct Process {
        uint64_t firstCompleteWindow { 0 };
        uint64_t openWindow { 0 };
        uint64_t revision { 0 }; // Revision of the last change of the members above.
        std::map<uint64_t, std::vector<Row>> windows;
    };

    uint32_t indexOf(std::string_view workspace);
    void raiseCount(Process&, uint64_t window, uint32_t workspace, uint32_t count);
    bool isRetained(uint64_t window) const { return window >= m_openWindow || m_openWindow - window < retainedWindows; }
    uint64_t highestRevisionWithin(uint64_t revision, size_t maxRows) const;
    bool hasUnfinishedWindow(const Process&, uint64_t window) const;

    RouterProcess m_self;
    uint64_t m_openWindow;
    uint64_t m_revision { 0 };
    std::vector<std::string> m_workspaces;
    std::map<std::string, uint32_t, std::less<>> m_workspaceIndex;
    std::map<RouterProcess, Process> m_processes;
};

} // namespace Brassladder::RouteServing::Duties
