// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/KeyedHash.h"
#include "Inner/Inner.pb.h"
#include "RouteServing/Routing/PeerBackoff.h"
#include "RouteServing/Routing/StreamHomes.h"
#include "RouteServing/Routing/StreamOriginTable.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Brassladder::RouteServing::Gateway {

// Lets every router find where a stream began that its caller takes up again. The router that relays the first event
// sends the origin to the homes of the stream (Routing/StreamHomes.h); a router to which the caller returns asks them.
// Messages may be lost: a stream whose origin is not found is refused, so that it never goes on at another software
// version. docs/design/stream-versions.md weighs the ways. Thread-safe.
class StreamOriginExchange {
public:
    // Identifies a stream. Only the caller that began it, on the same route, can name it.
    struct StreamName {
        std::string_view workspace; // Empty for routes without keys.
        std::string_view route;
        std::string_view attempt; // Id of the caller's attempt that brought the first event.
    };

    StreamOriginExchange(std::string self, std::string_view fleetKey);

    // Sets the function that sends an item to a router, and drops it if the router is unknown. Must be called before
    // the exchange is used.
    void setSend(std::function<void(const std::string& router, Inner::Wire::Item)> send) { m_send = std::move(send); }
    // Sets the routers of the fleet, including this one.
    void setRouters(std::span<const std::string> ids);
    // Records that the connection to a router has ended or could not be opened.
    void recordUnreachable(const std::string& router);

    // Records an origin and sends it to the homes. Does not wait for them. `lifetime`: how long the caller may take the
    // stream up.
    void publish(const StreamName&, const Routing::StreamOrigin&, Common::Milliseconds lifetime);
    // Asks other routers unless the origin is known here. Suspends the fiber, until the deadline at most. Returns
    // nullopt if no router that answers knows it.
    std::optional<Routing::StreamOrigin> find(const StreamName&, Common::TimePoint deadline);
    // Sends all records to their other homes. Called in a planned stop.
    void handOver();

    // Handles the item if it belongs to this exchange.
    void receive(const std::string& sender, const Inner::Wire::Item&);

    Routing::StreamOriginTable::Summary summary() const;

private:
    // A question to other routers; shared with the fiber that asks.
    struct Question {
        boost::fibers::mutex mutex;
        boost::fibers::condition_variable changed;
        size_t unanswered { 0 };
        std::optional<Routing::StreamOrigin> origin;
    };
    using QuestionPtr = std::shared_ptr<Question>;

    Routing::StreamKey keyOf(const StreamName&) const;
    std::optional<Routing::StreamOrigin> findOwn(const Routing::StreamKey&) const;
    // These two require the lock.
    bool isUsable(const std::string& router, Common::TimePoint now) const;
    std::vector<std::string> homesOf(const Routing::StreamKey&, size_t count) const;
    // Sends the question, and waits until a router knows the origin, all have answered, or the time is over.
    std::optional<Routing::StreamOrigin> ask(const Routing::StreamKey&, uint64_t sequence, Question&,
        std::span<const std::string> routers, Common::TimePoint until);
    void receiveOrigins(const Inner::Wire::StreamOrigins&);
    void answer(const std::string& sender, const Inner::Wire::StreamOriginQuery&);
    void receiveReply(const Inner::Wire::StreamOriginReply&);

    const std::string m_self;
    const Common::KeyedHash m_hash;
    std::function<void(const std::string&, Inner::Wire::Item)> m_send { [](const auto&, auto) {} };
    mutable std::mutex m_mutex; // Guards the members below.
    Routing::StreamOriginTable m_origins;
    Routing::StreamHomes m_homes;
    std::map<std::string, Routing::PeerBackoff> m_backoffs; // Of routers that could not be reached.
    std::map<uint64_t, QuestionPtr> m_questions; // By sequence.
    uint64_t m_lastSequence { 0 };
};

} // namespace Brassladder::RouteServing::Gateway
