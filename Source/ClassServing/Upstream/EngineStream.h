// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Scheduling/Types.h"
#include "ClassServing/Upstream/SseParser.h"
#include "Common/HttpClient.h"

// Clients for model engines and plain services. docs/INTERFACE.md specifies the protocols.
namespace Brassladder::ClassServing::Upstream {

inline constexpr std::string_view requestIdHeader = "Brassladder-Request-Id";
inline constexpr std::string_view priorityHeader = "Brassladder-Priority";
inline constexpr std::string_view ranHeader = "Brassladder-Ran";

struct UpstreamTimeouts {
    Common::Milliseconds connect { 0 };
    Common::Milliseconds response { 0 }; // Until the response begins, and between two reads of its body.
};

// One event of a generation: its bytes as received, and the content of its data field.
struct Token {
    std::string raw;
    std::string data;
};
// The engine sent the end marker, which completes the generation.
struct Finished { };
// The engine keeps the state of the generation and has freed its slot.
struct Paused {
    uint32_t tokens { 0 };
};
using EngineEvent = std::variant<Token, Finished, Paused>;

// One generation on one engine. Used by its request's fiber; `pause` and `cancel` may be called from other fibers of
// the same thread.
class EngineStream {
public:
    EngineStream(Common::Endpoint engine, std::string requestId);
    ~EngineStream();

    // Sends the request, over a pooled connection if `mayRepeat`. After UpstreamConnect and UpstreamRefused the request
    // did not run.
    Common::Status start(std::string_view body, Scheduling::Tier, bool mayRepeat, const UpstreamTimeouts&);
    // Resumes a paused generation. Returns UpstreamLostState if the engine no longer holds it.
    Common::Status resume(uint32_t fromToken, Scheduling::Tier, const UpstreamTimeouts&);
    // Waits for the next event. Returns UpstreamBroken if the stream ends without its end marker.
    Common::Result<EngineEvent> next();

    // Sends a pause request to the engine from a new fiber. The stream then ends with Paused, or continues if the
    // engine does not pause.
    void pause();
    // Ends the generation by closing its connection. If the connect is still in progress, the request is not sent.
    void cancel();

private:
    Common::Status open(const Common::HttpClientRequest&, bool mayRepeat, const UpstreamTimeouts&);

    Common::Endpoint m_engine;
    std::string m_requestId;
    std::unique_ptr<Common::HttpConnection> m_connection;
    SseParser m_parser;
    bool m_mayRepeat { false };
    bool m_finished { false };
    bool m_cancelled { false };
};

// Returns UpstreamRefused for a response with `Brassladder-Ran: no`, else UpstreamBroken.
Common::Error statusError(const Common::HttpClientResponse&);

} // namespace Brassladder::ClassServing::Upstream
