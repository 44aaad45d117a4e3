// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Claims/ClaimClient.h"
#include "ClassServing/Claims/ClaimRouter.h"
#include "ClassServing/Config/Store.h"
#include "ClassServing/Dispatch/GrantClient.h"
#include "ClassServing/Dispatch/Home.h"
#include "ClassServing/Frontend/AdminEndpoint.h"
#include "ClassServing/Frontend/AttemptLoop.h"
#include "ClassServing/Frontend/CallerEndpoint.h"
#include "ClassServing/Frontend/ChatHandler.h"
#include "ClassServing/Frontend/ClassRouterSettings.h"
#include "ClassServing/Frontend/Explanations.h"
#include "ClassServing/Frontend/MessageDispatcher.h"
#include "ClassServing/Frontend/PeriodicWork.h"
#include "ClassServing/Frontend/ServiceHandler.h"

namespace Brassladder::ClassServing::Frontend {

// A router that serves classes (`--serve=classes`). Owns its components and the listening ports, and connects the
// components to each other. Lives until the process exits.
class ClassRouter {
public:
    ClassRouter(Common::FiberRuntime&, ClassRouterSettings);

    // Binds the ports and starts to serve. Returns PlatformUnavailable if a port cannot be bound.
    Common::Status start();
    uint16_t httpPort() const { return m_server->port(); }
    uint16_t innerPort() const { return m_innerPort; }

    // Performs a planned stop: fails the readiness check and leaves the membership, which moves this router's homes to
    // its peers. Keeps accepting connections for the balancer's removal delay, then waits until no request is in flight
    // or the timeout expires. Blocks the calling thread; must not be called from a fiber.
    void drain();

private:
    Common::Status listen();
    void handle(Common::HttpExchange&);
    void handleReadiness(Common::HttpExchange&) const;
    Common::Json status() const;

    void sendTo(const std::string& peer, Inner::Wire::Item);
    void onViewChanged(const Membership::View&);

    Common::FiberRuntime& m_runtime;
    ClassRouterSettings m_settings;
    Common::ConnectionBudget m_connections;
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
    MessageDispatcher m_dispatcher;
    PeriodicWork m_periodicWork;
    CallerEndpoint m_callers;
    AdminEndpoint m_admin;
    Common::HttpServer* m_server { nullptr };
    uint16_t m_innerPort { 0 };
    std::atomic<bool> m_draining { false };
    std::atomic<size_t> m_inFlight { 0 };
};

} // namespace Brassladder::ClassServing::Frontend
