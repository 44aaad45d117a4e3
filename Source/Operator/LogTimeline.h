// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Json.h"

#include <cstddef>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace Brassladder::Operator {

// What the structured logs of all routers say of one request: its own lines, and those by which a router that served it
// changed what it knew while the request was there or shortly before.
class LogTimeline {
public:
    struct Entry {
        std::string time; // As logged: UTC, ISO 8601 with milliseconds, which sorts as text.
        std::string instance;
        std::string event;
        bool isRequestLine { false }; // Else a change of what the router knew.
        Common::Json details; // The other fields of the line.
    };

    explicit LogTimeline(std::string requestId)
        : m_requestId(std::move(requestId))
    {
    }

    // Reads one log; a line may bear a prefix of whatever collected it. May be called for several.
    void read(std::istream&);

    // In the order of time; empty when no log knows the request.
    std::vector<Entry> entries() const;
    // Lines that are no JSON object of ours.
    size_t unreadableLines() const { return m_unreadableLines; }

private:
    std::string m_requestId;
    std::vector<Entry> m_requestEntries;
    std::vector<Entry> m_stateChanges;
    size_t m_unreadableLines { 0 };
};

} // namespace Brassladder::Operator
