// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Brassladder::RouteServing::Gateway {

// Cuts the bytes of an event stream at the ends of its events, without changing a byte, so that a stream that breaks
// off is passed on up to its last whole event and can be taken up after it.
class SseFramer {
public:
    void feed(std::string_view bytes) { m_buffer += bytes; }

    // All whole events that are there and are newer than the last one taken; empty when there are none.
    std::string takeEvents();
    // What is left behind the last whole event.
    std::string takeRemainder();

    // The upstream broke off: what it sent of an event that did not end is forgotten.
    void discardPartialEvent() { m_buffer.clear(); }

    // Id of the last event taken; none before the first one.
    std::optional<uint64_t> lastId() const { return m_lastId; }

private:
    std::string m_buffer;
    std::optional<uint64_t> m_lastId;
};

} // namespace Brassladder::RouteServing::Gateway
