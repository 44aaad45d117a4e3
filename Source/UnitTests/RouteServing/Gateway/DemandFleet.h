// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Gateway/DemandExchange.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Gateway {

// Simulates, in virtual time, a fleet of routers that admit generations of many workspaces at one rank of a service.
// Uses the product's WorkspaceShares and DemandExchange. The admission is ideal: a queue of the whole fleet that drains
// at the capacity. It asks for shares while the queue is long, and refuses all requests while it is full.
class DemandFleet {
public:
    struct Options {
        size_t routers { 85 };
        std::vector<double> workspaces; // Demand of each workspace, as a multiple of the usual.
        double load { 1 }; // Requested work as a multiple of the capacity, at the usual demand of all workspaces.
        double requestsPerSecond { 408 }; // Of the fleet, at the usual demand and a load of 1.
        Common::Milliseconds latency { 20 }; // Of each message between routers.
        Common::Milliseconds exchangeInterval { 100 };
        unsigned seed { 1 };
        bool usesShares { true };
        bool alwaysAsks { false }; // The admission asks for shares also while the queue is short.
        Routing::WorkspaceShares::WeightOf weightOf;
    };

    explicit DemandFleet(Options);

    void runFor(Common::Milliseconds);
    // Forgets the counts so far.
    void resetCounts();
    // Sets the demand of a workspace from now on, as a multiple of the usual.
    void setDemand(size_t workspace, double factor) { m_options.workspaces[workspace] = factor; }
    // Ends a router's process. If it is a hub, its subscribers request from another hub after `detection`.
    void kill(size_t router, Common::Milliseconds detection);
    // Drops all messages to and from these routers from now on.
    void cutOff(const std::set<size_t>& routers) { m_cutOff = routers; }

    struct Count {
        double requested { 0 }; // Tokens.
        double admitted { 0 };
        double refusedOverShare { 0 };
    };
    const std::vector<Count>& counts() const { return m_counts; } // By workspace.
    // Returns the fraction of its requested work that was admitted.
    double admittedPart(size_t workspace) const { return m_counts[workspace].admitted / m_counts[workspace].requested; }
    // Returns the processed work as a part of the capacity.
    double utilization() const;
    // Returns what the workspace would have been admitted with exact shares of the whole capacity, in tokens.
    double exactShare(size_t workspace) const;
    // Returns the mean of admitted work over exact share, for the workspaces from `first` on.
    double meanKeptPart(size_t first) const;
    size_t limitedCount(size_t router) const { return m_routers[router].shares->limitedCount(m_now); }
    Common::TimePoint now() const { return m_now; }
    // Bytes of tables, all messages of the fleet, and the largest of one router, since the counts were reset.
    double bytesSent() const { return m_bytesSent; }
    double bytesOfBusiestRouter() const;
    double seconds() const { return Common::toSeconds(m_now - m_countedSince); }

private:
    struct Router {
        std::string id;
        std::unique_ptr<Routing::WorkspaceShares> shares;
        std::unique_ptr<DemandExchange> exchange;
        size_t hub { 0 };
        bool isDead { false };
        Common::TimePoint nextStep {};
        double callers { 1 }; // Weight of this router among those that callers use.
        double bytes { 0 };
    };
    struct Message {
        Common::TimePoint at;
        std::function<void()> deliver;
    };

    bool isHub(size_t router) const { return router < m_hubs; }
    bool isConnected(size_t a, size_t b) const;
    void step(size_t router);
    void request(size_t from, size_t hub);
    void send(size_t from, size_t to, size_t bytes, std::function<void()> deliver);
    void arrive();
    void serve(size_t router, size_t workspace, uint64_t tokens);
    bool chance(double probability) { return std::uniform_real_distribution<>()(m_random) < probability; }

    Options m_options;
    std::mt19937_64 m_random;
    size_t m_hubs;
    double m_capacity; // Tokens per second.
    std::vector<Router> m_routers;
    // For each workspace, the routers that its callers use: most use a few of them more than the others.
    std::vector<std::discrete_distribution<size_t>> m_callers;
    std::deque<Message> m_messages;
    std::set<size_t> m_cutOff;
    std::vector<Count> m_counts;
    Common::TimePoint m_now { std::chrono::hours(1) };
    Common::TimePoint m_countedSince { m_now };
    double m_queue { 0 }; // Admitted tokens that are not processed yet.
    double m_processed { 0 }; // Tokens since the counts were reset.
    double m_bytesSent { 0 };
};

} // namespace Brassladder::RouteServing::Gateway
