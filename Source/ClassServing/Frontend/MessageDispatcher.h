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

// Hands each message between routers (Inner/Inner.proto) to the part that it is for, and keeps when each router was
// last heard. Safe to use from several threads.
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
    // A home did not answer the highest tier: it is suspected unless something else of it was heard lately.
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
