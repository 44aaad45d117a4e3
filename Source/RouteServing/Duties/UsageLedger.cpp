// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Duties/UsageLedger.h"

#include <algorithm>
#include <limits>

namespace Brassladder::RouteServing::Duties {

// Value of `openWindow` for a process that has stopped counting.
static constexpr uint64_t allWindowsFinal = std::numeric_limits<uint64_t>::max();

UsageLedger::UsageLedger(RouterProcess self, uint64_t openWindow)
    : m_self(std::move(self))
    , m_openWindow(openWindow)
{
    auto& own = m_processes[m_self];
    own.firstCompleteWindow = openWindow + 1;
    own.openWindow = openWindow;
    own.revision = ++m_revision;
}

uint32_t UsageLedger::indexOf(std::string_view workspace)
{
    auto known = m_workspaceIndex.find(workspace);
    if (known != m_workspaceIndex.end())
        return known->second;
    auto index = static_cast<uint32_t>(m_workspaces.size());
    m_workspaces.emplace_back(workspace);
    m_workspaceIndex.emplace(workspace, index);
    return index;
}

void UsageLedger::raiseCount(Process& process, uint64_t window, uint32_t workspace, uint32_t count)
{
    auto& rows = process.windows[window];
    auto row = std::find_if(rows.begin(), rows.end(), [&](const Row& known) { return known.workspace == workspace; });
    if (row == rows.end())
        row = rows.insert(rows.end(), Row { workspace, 0, 0 });
    if (row->count >= count)
        return;
    row->count = count;
    row->revision = ++m_revision;
}

void UsageLedger::count(std::string_view workspace, uint64_t openWindow)
{
    advance(openWindow);
    auto index = indexOf(workspace);
    auto& own = m_processes[m_self];
    const auto& rows = own.windows[m_openWindow];
    auto row = std::find_if(rows.begin(), rows.end(), [&](const Row& known) { return known.workspace == index; });
    raiseCount(own, m_openWindow, index, row == rows.end() ? 1 : row->count + 1);
}

void UsageLedger::advance(uint64_t openWindow)
{
    if (openWindow <= m_openWindow)
        return;
    m_openWindow = openWindow;
    auto& own = m_processes[m_self];
    if (own.openWindow != allWindowsFinal)
        own.openWindow = openWindow;
    own.revision = ++m_revision;
    for (auto process = m_processes.begin(); process != m_processes.end();) {
        auto& windows = process->second.windows;
        windows.erase(windows.begin(), windows.upper_bound(m_openWindow - std::min(m_openWindow, retainedWindows)));
        bool isExpired
            = process->second.openWindow == allWindowsFinal ? windows.empty() : !isRetained(process->second.openWindow);
        bool mustEvict = process->first != m_self && isExpired;
        process = mustEvict ? m_processes.erase(process) : std::next(process);
    }
}

void UsageLedger::finish()
{
    auto& own = m_processes[m_self];
    own.openWindow = allWindowsFinal;
    own.revision = ++m_revision;
}

void UsageLedger::merge(std::span<const RouterUsage> usages)
{
    for (const auto& usage : usages) {
        if (usage.router == m_self || !isRetained(usage.openWindow))
            continue;
        auto& process = m_processes[usage.router];
        if (usage.openWindow > process.openWindow || !process.revision) {
            process.firstCompleteWindow = usage.firstCompleteWindow;
            process.openWindow = std::max(process.openWindow, usage.openWindow);
            process.revision = ++m_revision;
        }
        for (const auto& row : usage.rows) {
            // Rows of windows that are no longer retained or too far in the future are ignored.
            if (!isRetained(row.window) || row.window > m_openWindow + retainedWindows)
                continue;
            auto count = std::min<uint64_t>(row.count, std::numeric_limits<uint32_t>::max());
            raiseCount(process, row.window, indexOf(row.workspace), static_cast<uint32_t>(count));
        }
    }
}

// Returns the highest revision with at most `maxRows` changes after `revision`.
uint64_t UsageLedger::highestRevisionWithin(uint64_t revision, size_t maxRows) const
{
    std::vector<uint64_t> revisions;
    auto add = [&](uint64_t changed) {
        if (changed > revision)
            revisions.push_back(changed);
    };
    for (const auto& [router, process] : m_processes) {
        add(process.revision);
        for (const auto& [window, rows] : process.windows) {
            for (const auto& row : rows)
                add(row.revision);
        }
    }
    if (revisions.size() <= maxRows)
        return m_revision;
    auto last = revisions.begin() + static_cast<ptrdiff_t>(maxRows - 1);
    std::nth_element(revisions.begin(), last, revisions.end());
    return *last;
}

UsageLedger::Changes UsageLedger::changesAfter(uint64_t revision, size_t maxRows) const
{
    Changes changes { {}, highestRevisionWithin(revision, maxRows) };
    auto isIncluded = [&](uint64_t changed) { return changed > revision && changed <= changes.upTo; };
    for (const auto& [router, process] : m_processes) {
        RouterUsage change { router, process.firstCompleteWindow, process.openWindow, {} };
        for (const auto& [window, rows] : process.windows) {
            for (const auto& row : rows) {
                if (isIncluded(row.revision))
                    change.rows.push_back({ window, m_workspaces[row.workspace], row.count });
            }
        }
        if (isIncluded(process.revision) || !change.rows.empty())
            changes.routers.push_back(std::move(change));
    }
    return changes;
}

WorkspaceCounts UsageLedger::total(uint64_t window) const
{
    WorkspaceCounts counts;
    for (const auto& [router, process] : m_processes) {
        auto rows = process.windows.find(window);
        if (rows == process.windows.end())
            continue;
        for (const auto& row : rows->second)
            counts[m_workspaces[row.workspace]] += row.count;
    }
    return counts;
}

// Returns whether the process may still count requests for the window. A process that started after the window has no
// counts for it.
bool UsageLedger::hasUnfinishedWindow(const Process& process, uint64_t window) const
{
    return process.openWindow <= window && process.firstCompleteWindow <= window + 1;
}

bool UsageLedger::isFinal(uint64_t window) const { return !unfinishedProcesses(window); }

size_t UsageLedger::unfinishedProcesses(uint64_t window) const
{
    return static_cast<size_t>(std::count_if(m_processes.begin(), m_processes.end(),
        [&](const auto& entry) { return hasUnfinishedWindow(entry.second, window); }));
}

bool UsageLedger::isFullyCounted(uint64_t window) const
{
    return std::any_of(m_processes.begin(), m_processes.end(), [&](const auto& entry) {
        return entry.second.firstCompleteWindow <= window && entry.second.openWindow > window;
    });
}

} // namespace Brassladder::RouteServing::Duties
