// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Routing/EngineState.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace Brassladder::RouteServing::Routing {

// Ranks engines for a shared prefix. The first one keeps the prefix in its cache. The next ones take generations with
// the prefix when the first one has too much to do, so that a frequently requested prefix has a few copies that are
// used again, and not one copy for each time that the first engine is busy.
//
// The rank follows from the ids of the prefix and of the engine only (rendezvous hashing). Thus all routers agree
// without messages, any group of engines is ranked in the order that all engines have, and an engine that leaves for a
// moment changes nothing in the order of the others.
class PrefixRanking {
public:
    // An engine's cache holds some tens of prefixes, so each further copy takes the place of another prefix.
    static constexpr size_t maxCopies = 3;

    // An empty ranking, for a prompt without a shared prefix.
    PrefixRanking() = default;
    // Ranks the engines with the indices in `allowed`.
    PrefixRanking(uint64_t prefix, std::span<const EngineState>, std::span<const size_t> allowed);

    // Returns the indices of the engines that keep a copy, in the order of preference.
    std::span<const size_t> engines() const { return std::span(m_engines).first(m_count); }
    // Returns the index of the engine that is expected to have the prefix cached; nullopt for an empty ranking.
    std::optional<size_t> first() const { return m_count ? std::optional(m_engines.front()) : std::nullopt; }
    bool contains(size_t index) const;

private:
    std::array<size_t, maxCopies> m_engines {};
    size_t m_count { 0 };
};

} // namespace Brassladder::RouteServing::Routing
