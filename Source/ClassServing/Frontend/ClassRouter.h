// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Claims/ClaimClient.h"
#include "ClassServing/Claims/ClaimRouter.h"
#include "ClassServing/Config/Store.h"
#include "ClassServing/Dispatch/GrantClient.h"
#include "ClassServing/Dispatch/Home.h"
#include "ClassServing/Frontend/AttemptLoop.h"
#include "ClassServing/Frontend/ChatHandler.h"
#include "ClassServing/Frontend/ClassRouterSettings.h"
#include "ClassServing/Frontend/Explanations.h"
#include "ClassServing/Frontend/ServiceHandler.h"

namespace Brassladder::ClassServing::Frontend {

// One instance: every role in one process. It wires the parts together and owns their background fibers.
class ClassRouter {
public:
    ClassRouter(Common::FiberRuntime&, ClassRouterSettings);

    // Binds the ports and starts to serve. PlatformUnavailable when a port cannot be had.
    Common::Status start();
    uint16_t httpPort() const { return m_server->port(); }
    uint16_t innerPort() const { return m_innerPort; }

    // A planned stop: not ready at once, served on for the balancer's lag, homes handed over, and what is in flight
    // finished. Returns when nothing is in flight or the limit is reached. Blocks a plain thread, not a fiber.
    void drain();

private:
    void handle(Common::HttpExchange&);
    void handleCaller(Common::HttpExchange&);
    void handleAdmin(Common::HttpExchange&);
    Common::Json status() const;

    void sendTo(const std::string& peer, Inner::Wire::Item);
    void onItem(const Inner::Mesh::Sender&, const Inner::Wire::Item&);
    void onClaimRequest(const Inner::Mesh::Sender&, const Inner::Wire::ClaimRequest&);
    void onHeartbeat(const Inner::Mesh::Sender&, const Inner::Wire::Heartbeat&);
    void onViewChanged(const Membership::View&);
    void onSilentHome(const std::string& home);

    void readInstances();
    void sendHeartbeats();
    void probeLoads();
    void every(Common::Milliseconds, std::function<void()>);

    Common::FiberRuntime& m_runtime;
    ClassRouterSettings m_settings;
    Inner::Mesh m_mesh;
    Membership::Table m_membership;
    Config::Store m_config;
    Dispatch::Home m_home;
    Dispatch::GrantClient m_grants;
    Claims::ClaimRouter m_claimRouter;
    Claims::ClaimClient m_claims;
    AttemptLoop m_attempts;
    ChatHandler m_chat;
    ServiceHandler m_services;
    Explanations m_explanations;
    Common::HttpServer* m_server { nullptr };
    uint16_t m_innerPort { 0 };
    std::atomic<bool> m_draining { false };
    std::atomic<size_t> m_inFlight { 0 };
    std::mutex m_lastHeardMutex;
    std::map<std::string, Common::TimePoint> m_lastHeard;
};

} // namespace Brassladder::ClassServing::Frontend
