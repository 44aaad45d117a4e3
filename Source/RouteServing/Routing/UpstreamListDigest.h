// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Routing/Upstream.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// Identifies lists of upstreams by digests, so that routers can tell each other which list they have and exchange only
// the difference. Pure.
namespace Brassladder::RouteServing::Routing {

// Digest of a list of upstreams that is updated entry by entry. Lists with the same entries have the same digest,
// whatever the order of the updates. Not thread-safe.
class UpstreamListDigest {
public:
    // Adds or replaces an entry. Returns whether the digest has changed.
    bool set(const UpstreamRecord&);
    // Returns whether the entry was present.
    bool remove(std::string_view id);
    bool contains(std::string_view id) const { return m_hashes.contains(id); }
    // Ids with their hashes.
    const std::map<std::string, uint64_t, std::less<>>& entries() const { return m_hashes; }
    // Never 0, which stands for a router without a list.
    uint64_t value() const { return m_sum ? m_sum : 1; }

private:
    std::map<std::string, uint64_t, std::less<>> m_hashes; // By id.
    uint64_t m_sum { 0 }; // Of the hashes, modulo 2^64.
};

// The most recent changes of a list: for each, the digest before it and the ids of the entries that it changed. The
// number of ids is bounded. Not thread-safe.
class UpstreamChangeLog {
public:
    void record(uint64_t digestBefore, std::vector<std::string> ids);
    // Returns the ids that have changed since the list had the digest, each once, or nullopt if that is not known.
    std::optional<std::vector<std::string>> changedSince(uint64_t digest) const;

private:
    struct Change {
        uint64_t digestBefore { 0 };
        std::vector<std::string> ids;
    };
    std::deque<Change> m_changes; // The oldest first.
    size_t m_ids { 0 }; // In all changes.
};

// What a list newly states about whether an upstream serves.
struct UpstreamDeparture {
    enum class Kind : uint8_t {
        Leaving, // Its entry states that it is leaving.
        Gone, // Its entry is gone without having stated that.
        Returned, // Its entry is back after it was gone, for the same start of the process.
    };
    Kind kind { Kind::Leaving };
    UpstreamIncarnation upstream;
};

// The difference between two lists.
struct UpstreamListChanges {
    std::vector<UpstreamRecord> changed; // New entries and entries with other values.
    std::vector<std::string> removed;
};

} // namespace Brassladder::RouteServing::Routing
