// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Claims/ClaimClient.h"
#include "ClassServing/Claims/ClaimRouter.h"
#include "ClassServing/Config/Store.h"
#include "ClassServing/Dispatch/GrantClient.h"
#include "ClassServing/Dispatch/Home.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace Brassladder::ClassServing::Frontend {

// Passes each message from a router (Inner/Inner.proto) to the component that handles it, and records when each router
// last sent one. Thread-safe.
class MessageDispatcher {
public:
    struct Parts {
        std::string self;
        uint32_t claimPartitions { 0 };
        Membership::Table& membership;
        Config::Store& config;
        Dispatch::Home& home;
        Dispatch::GrantClient& grants;
        Claims::ClaimRouter& claimRouter;
        Claims::ClaimClient& claims;
        std::function<void(const std::string& peer, Inner::Wire::Item)> send;
    };

    explicit MessageDispatcher(Parts parts)
        : m_parts(std::move(parts))
    {
    }

    void onItem(const Inner::Mesh::Sender&, const Inner::Wire::Item&);
    // Called if a home did not respond to a request of the highest tier. Suspects the home unless it sent another
    // message recently.
    void onHomeUnresponsive(const std::string& home);

private:
    void recordMessageFrom(const std::string& router);
    void dispatch(const Inner::Mesh::Sender&, const Inner::Wire::Item&);
    void onClaimRequest(const Inner::Mesh::Sender&, const Inner::Wire::ClaimRequest&);
    void onClaimUpdate(const Inner::Wire::ClaimUpdate&);
    void onHeartbeat(const Inner::Mesh::Sender&, const Inner::Wire::Heartbeat&);

    Parts m_parts;
    std::mutex m_mutex;
    std::map<std::string, Common::TimePoint> m_lastMessageAt; // By router.
};

} // namespace Brassladder::ClassServing::Frontend
