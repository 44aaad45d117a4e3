// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Json.h"

#include <cstddef>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace Brassladder::Operator {

// Timeline of one request from the structured logs of routers: the log lines of the request, and the state changes of
// the routers that handled it, during the request or shortly before.
class LogTimeline {
public:
    struct Entry {
        std::string time; // UTC, ISO 8601 with milliseconds, which sorts as text.
        std::string instance;
        std::string event;
        bool isRequestLine { false }; // Otherwise a state change of the router.
        Common::Json details; // The other fields of the line.
    };

    explicit LogTimeline(std::string requestId)
        : m_requestId(std::move(requestId))
    {
    }

    // Adds the lines of one log. A line may have a prefix, for example of a log collector. May be called for several
    // logs.
    void read(std::istream&);

    // Returns the entries ordered by time; empty if no log contains the request.
    std::vector<Entry> entries() const;
    // Number of non-empty lines that are not JSON log lines of a router.
    size_t unreadableLines() const { return m_unreadableLines; }

private:
    std::string m_requestId;
    std::vector<Entry> m_requestEntries;
    std::vector<Entry> m_stateChanges;
    size_t m_unreadableLines { 0 };
};

} // namespace Brassladder::Operator
