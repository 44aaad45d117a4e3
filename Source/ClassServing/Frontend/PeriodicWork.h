// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Config/Store.h"
#include "ClassServing/Dispatch/GrantClient.h"
#include "ClassServing/Dispatch/Home.h"
#include "ClassServing/Frontend/ClassRouterSettings.h"

#include <functional>

namespace Brassladder::ClassServing::Frontend {

// The background work of a router that serves classes: follows the configuration, reads the instance list and load
// reports, sends heartbeats, and calls the timers of scheduler, membership and grant client. Lives until the process
// exits.
class PeriodicWork {
public:
    struct Parts {
        const ClassRouterSettings& settings;
        Inner::Mesh& mesh;
        Membership::Table& membership;
        Config::Store& config;
        Dispatch::Home& home;
        Dispatch::GrantClient& grants;
        std::function<bool()> isDraining;
    };

    explicit PeriodicWork(Parts parts)
        : m_parts(std::move(parts))
    {
    }

    // Starts a fiber for each kind of work.
    void start(Common::FiberRuntime&);

private:
    void followConfiguration();
    void readInstances();
    void sendHeartbeats();
    void readLoads();
    void readLoad(const Dispatch::ShardKey&, const Membership::Upstream&);

    Parts m_parts;
};

} // namespace Brassladder::ClassServing::Frontend
