// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// Where a stream began: what sent its first whole event to the caller.
struct StreamOrigin {
    std::string service;
    std::string softwareVersion; // Never empty.
    bool operator==(const StreamOrigin&) const = default;
};

// Keyed hash of the workspace, the route and the caller's attempt that brought the first event.
using StreamKey = std::array<uint64_t, 2>;

// Records where streams began, for as long as their callers may take them up again. Bounded: the records that would end
// first are dropped first. Not thread-safe.
class StreamOriginTable {
public:
    static constexpr size_t defaultCapacity = 16'384;

    explicit StreamOriginTable(size_t capacity = defaultCapacity)
        : m_capacity(capacity)
    {
    }

    // Adds a record, or lets a known one last longer. A second origin under one key makes the key unusable, because it
    // cannot be told which of the two streams is meant.
    void record(const StreamKey&, const StreamOrigin&, Common::TimePoint until, Common::TimePoint now);
    // Returns nullopt if the origin is not known.
    std::optional<StreamOrigin> find(const StreamKey&, Common::TimePoint now) const;

    struct Record {
        StreamKey key {};
        StreamOrigin origin;
        Common::TimePoint until {};
    };
    // Returns the records that are in force and usable.
    std::vector<Record> records(Common::TimePoint now) const;
    struct Summary {
        size_t records { 0 };
        uint64_t dropped { 0 }; // For lack of space, before their callers gave up.
    };
    Summary summary() const { return { m_entries.size(), m_dropped }; }

private:
    struct Entry {
        StreamOrigin origin;
        Common::TimePoint until {};
        bool isAmbiguous { false };
    };

    void makeSpace(Common::TimePoint now);

    size_t m_capacity;
    std::map<StreamKey, Entry> m_entries;
    std::set<std::pair<Common::TimePoint, StreamKey>> m_ends; // Of the entries, the earliest first.
    uint64_t m_dropped { 0 };
};

} // namespace Brassladder::RouteServing::Routing
