// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/FiberRuntime.h"
#include "Common/HttpClient.h"
#include "Operator/Publisher.h"
#include "Testing/Harness/Process.h"

#include <map>
#include <optional>

namespace Brassladder::Testing::Harness {

// A process of the cluster and its endpoint.
struct Node {
    std::string id;
    std::string pool; // "router" for routers.
    std::optional<Process> process;
    Common::Endpoint endpoint;
    Common::Json instance; // Its entry in the instance list.
};

struct EngineOptions {
    int64_t stepMicros { 5000 };
    int64_t slots { 8 };
    int64_t reportLagMs { 1000 };
};

// Runs routers, engines, services and a platform as processes on loopback, with ports assigned by the kernel.
class Cluster {
public:
    explicit Cluster(Common::FiberRuntime&);
    ~Cluster();

    static constexpr const char* fleetKey = "fleet-key-of-the-tests";

    void addEngine(const std::string& id, const std::string& pool = "language", const EngineOptions& = {},
        const std::string& domain = "a");
    void addService(
        const std::string& id, const std::string& pool, int64_t durationMs = 2, const std::string& domain = "a");
    // Additional settings are given as JSON pointers and values.
    void addRouter(const std::string& id, const std::map<std::string, std::string>& settings = {});
    // Publishes the files. Waits until every router has applied them and lists all routers and all upstreams.
    void publish(const Operator::FileSet&);
    void awaitReady();
    // Polls the condition. Returns false if it does not hold before the timeout.
    bool await(const std::function<bool()>&, std::chrono::seconds timeout = std::chrono::seconds(30));

    Node& node(const std::string& id) { return m_nodes.at(id); }
    void kill(const std::string& id);
    void freeze(const std::string& id) { node(id).process->freeze(); }
    void thaw(const std::string& id) { node(id).process->thaw(); }
    void setListed(const std::string& id, const std::string& state); // An empty state removes the entry.

    std::vector<Common::Endpoint> routers() const;
    std::vector<std::string> idsOf(const std::string& pool) const;
    Common::Json status(const std::string& router);
    // Returns the home of the pool's first shard among the running routers.
    std::string homeOf(const std::string& pool);
    Common::Json fault(const std::string& id, const Common::Json&);
    Common::Json counters(const std::string& id);
    ClassServing::BackingServices::LogService log() const
    {
        return ClassServing::BackingServices::httpLogService(m_nodes.at("log").endpoint);
    }
    Common::Result<Common::HttpClientResponse> call(const std::string& id, const Common::HttpClientRequest&);
    Common::FiberRuntime& runtime() { return m_runtime; }
    const std::string& folder() const { return m_folder.path(); }
    // Returns the end of a process's log.
    std::string logOf(const std::string& id) const;

private:
    void start(
        const std::string& id, const std::string& program, const std::string& role, const Common::Json& settings);
    bool isComplete();

    Common::FiberRuntime& m_runtime;
    Folder m_folder;
    std::map<std::string, Node> m_nodes;
};

// Returns a small configuration for tests: two pools, four tiers, two workspaces.
Operator::FileSet testConfiguration();
inline constexpr const char* testKey = "key-of-north";
inline constexpr const char* otherKey = "key-of-south";

} // namespace Brassladder::Testing::Harness
