// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Brassladder::RouteServing::Gateway {

// Asks of this router whose answers are awaited: more than one when the way there and back takes longer than the pause
// between two. Not safe for several threads.
class OutstandingRequests {
public:
    // Whom this router asks from now on: a hub, or for a hub a store reader; empty when it asks nobody. Asks to another
    // one are forgotten.
    void setTarget(std::string source, bool asHub);
    const std::string& source() const { return m_source; }
    // Whether this router asked as a hub.
    bool asHub() const { return m_asHub; }

    // Notes an ask, and returns the number that its answer will bear.
    uint64_t add(Common::TimePoint now);
    // The moment of the ask that an answer belongs to, with which older ones are answered as well; none when it belongs
    // to none.
    std::optional<Common::TimePoint> take(std::string_view from, uint64_t number);

    // Whether an answer is awaited for longer than any way takes.
    bool isOverdue(Common::TimePoint now) const;
    void clear() { m_sent.clear(); }

private:
    std::string m_source;
    bool m_asHub { false };
    uint64_t m_last { 0 };
    std::map<uint64_t, Common::TimePoint> m_sent; // By number.
};

// What a peer was sent last, whole: it is not sent again with each ask while it may be under way.
class LastSentVersion {
public:
    void note(uint64_t version, Common::TimePoint now);
    bool isInFlight(uint64_t version, Common::TimePoint now) const;

private:
    uint64_t m_version { 0 };
    std::optional<Common::TimePoint> m_at;
};

} // namespace Brassladder::RouteServing::Gateway
