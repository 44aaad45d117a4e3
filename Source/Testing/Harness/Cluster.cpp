// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Testing/Harness/Cluster.h"

#include "ClassServing/Dispatch/Sharding.h"
#include "Common/Digest.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace Brassladder::Testing::Harness {

using Common::Json;
using namespace std::chrono_literals;

static std::string listFolder(const std::string& folder) { return folder + "/instances"; }

Cluster::Cluster(Common::FiberRuntime& runtime)
    : m_runtime(runtime)
{
    std::filesystem::create_directory(listFolder(m_folder.path()));
    start("log", "brassladder-fakes", "", { { "role", "log" }, { "id", "log" } });
    start("list", "brassladder-fakes", "",
        { { "role", "list" }, { "id", "list" }, { "folder", listFolder(m_folder.path()) }, { "lag_ms", 100 } });
}

Cluster::~Cluster() = default;

void Cluster::start(const std::string& id, const std::string& program, const std::string& role, const Json& settings)
{
    auto settingsFile = m_folder.path() + "/" + id + ".settings";
    auto readyFile = m_folder.path() + "/" + id + ".ready";
    std::filesystem::remove(readyFile);
    std::ofstream(settingsFile) << Common::dumpJson(settings);
    auto& node = m_nodes[id];
    node.id = id;
    node.pool = role;
    node.process.emplace(program,
        std::vector<std::string> { "--settings=" + settingsFile, "--ready_file=" + readyFile },
        m_folder.path() + "/" + id + ".log");
    node.instance = awaitReadyFile(readyFile);
    auto endpoint = Common::parseEndpoint(Common::member<std::string>(node.instance, "endpoint", ""));
    if (isError(endpoint)) {
        std::cerr << id << " did not start: " << logOf(id) << "\n";
        std::abort();
    }
    node.endpoint = valueOf(endpoint);
    if (!role.empty())
        setListed(id, "live");
}

void Cluster::addEngine(
    const std::string& id, const std::string& pool, const EngineOptions& options, const std::string& domain)
{
    start(id, "brassladder-fakes", pool,
        { { "role", "engine" }, { "id", id }, { "pool", pool }, { "failure_domain", domain },
            { "step_us", options.stepMicros }, { "slots", options.slots }, { "report_lag_ms", options.reportLagMs } });
}

void Cluster::addService(const std::string& id, const std::string& pool, int64_t durationMs, const std::string& domain)
{
    start(id, "brassladder-fakes", pool,
        { { "role", "service" }, { "id", id }, { "pool", pool }, { "failure_domain", domain },
            { "duration_ms", durationMs } });
}

void Cluster::addRouter(const std::string& id, const std::map<std::string, std::string>& extra)
{
    Json settings
        = { { "id", id }, { "failure_domain", "a" }, { "fleet_key", fleetKey }, { "drain", { { "lag_ms", 300 } } },
              { "platform",
                  { { "log", m_nodes.at("log").endpoint.text() },
                      { "instance_list", m_nodes.at("list").endpoint.text() }, { "list_interval_ms", 200 } } } };
    for (const auto& [pointer, value] : extra) {
        Json parsed = Common::parseJson(value);
        settings[Json::json_pointer(pointer)] = parsed.is_discarded() ? Json(value) : parsed;
    }
    start(id, "brassladder-router", "router", settings);
}

void Cluster::setListed(const std::string& id, const std::string& state)
{
    auto path = listFolder(m_folder.path()) + "/" + id + ".json";
    if (state.empty()) {
        std::filesystem::remove(path);
        return;
    }
    auto& instance = node(id).instance;
    instance["state"] = state;
    std::ofstream(path + ".draft") << Common::dumpJson(instance);
    std::filesystem::rename(path + ".draft", path);
}

void Cluster::kill(const std::string& id) { node(id).process->kill(); }

std::vector<std::string> Cluster::idsOf(const std::string& pool) const
{
    std::vector<std::string> ids;
    for (const auto& [id, node] : m_nodes) {
        if (node.pool == pool && node.process->isRunning())
            ids.push_back(id);
    }
    return ids;
}

std::vector<Common::Endpoint> Cluster::routers() const
{
    std::vector<Common::Endpoint> endpoints;
    for (const auto& id : idsOf("router"))
        endpoints.push_back(m_nodes.at(id).endpoint);
    return endpoints;
}

Common::Result<Common::HttpClientResponse> Cluster::call(const std::string& id, const Common::HttpClientRequest& call)
{
    auto endpoint = node(id).endpoint;
    return m_runtime.call([endpoint, call] { return Common::callOnce(endpoint, call); });
}

static Json jsonOf(const Common::Result<Common::HttpClientResponse>& answer)
{
    return isError(answer) ? Json() : Common::parseJson(valueOf(answer).body);
}

Json Cluster::status(const std::string& router)
{
    Common::HttpClientRequest get;
    get.target = "/admin/status";
    get.headers = { { "Authorization", std::string("Bearer ") + fleetKey } };
    return jsonOf(call(router, get));
}

std::string Cluster::homeOf(const std::string& pool)
{
    ClassServing::Membership::View view;
    view.routers = idsOf("router");
    return ClassServing::Dispatch::homeOf(view, { pool, 0 });
}

Json Cluster::fault(const std::string& id, const Json& faults)
{
    Common::HttpClientRequest post;
    post.method = "POST";
    post.target = "/fake/fault";
    post.body = Common::dumpJson(faults);
    return jsonOf(call(id, post));
}

Json Cluster::counters(const std::string& id)
{
    Common::HttpClientRequest get;
    get.target = "/fake/counters";
    return jsonOf(call(id, get));
}

bool Cluster::await(const std::function<bool()>& condition, std::chrono::seconds timeout)
{
    auto until = Common::now() + timeout;
    while (Common::now() < until) {
        if (condition())
            return true;
        std::this_thread::sleep_for(20ms);
    }
    return condition();
}

void Cluster::publish(const Operator::FileSet& files)
{
    auto published = m_runtime.call([this, &files] { return Operator::Publisher(log()).publish(files); });
    if (isError(published))
        std::cerr << "publish: " << errorOf(published).message << "\n";
    awaitReady();
}

bool Cluster::isComplete()
{
    auto fold = m_runtime.call([this] { return Operator::Publisher(log()).readFold(); });
    if (isError(fold))
        return false;
    size_t upstreams = 0;
    for (const auto& [id, node] : m_nodes)
        upstreams += !node.pool.empty() && node.pool != "router" && node.process->isRunning();
    auto routers = idsOf("router");
    for (const auto& router : routers) {
        auto state = status(router);
        if (!state.is_object() || state["routers"].size() != routers.size())
            return false;
        size_t seen = 0;
        for (const auto& [pool, members] : state["pools"].items())
            seen += members.size();
        if (seen < upstreams || !state["config"]["ready"].get<bool>())
            return false;
        for (const auto& [name, file] : valueOf(fold).files()) {
            if (Common::member<uint64_t>(state["config"]["files"][name], "version", 0) < file.version)
                return false;
        }
    }
    return true;
}

void Cluster::awaitReady()
{
    if (!await([this] { return isComplete(); }))
        std::cerr << "cluster did not become ready: " << Common::dumpJson(status(idsOf("router").front())) << "\n";
}

std::string Cluster::logOf(const std::string& id) const
{
    std::ifstream file(m_folder.path() + "/" + id + ".log");
    std::stringstream text;
    text << file.rdbuf();
    auto all = text.str();
    static constexpr size_t shown = 4000;
    return all.size() > shown ? all.substr(all.size() - shown) : all;
}

Operator::FileSet testConfiguration()
{
    Json pools = { { "pools",
        { { { "name", "language" }, { "kind", "engine" }, { "slots_per_worker", 8 } },
            { { "name", "orders" }, { "kind", "service" }, { "slots_per_worker", 16 } } } } };
    Json classes = { { "classes",
        { { { "name", "urgent" }, { "pool", "language" }, { "tier", 0 }, { "target_ms", 400 },
              { "max_wait_ms", 2000 } },
            { { "name", "chat" }, { "pool", "language" }, { "tier", 1 }, { "target_ms", 1500 },
                { "max_wait_ms", 10'000 }, { "preemptible", true } },
            { { "name", "draft" }, { "pool", "language" }, { "tier", 2 }, { "target_ms", 10'000 },
                { "max_wait_ms", 60'000 }, { "preemptible", true } },
            { { "name", "overnight" }, { "pool", "language" }, { "tier", 3 }, { "target_ms", 600'000 },
                { "max_wait_ms", 600'000 }, { "guarantee_after_ms", 2000 }, { "preemptible", true } },
            { { "name", "stock" }, { "pool", "orders" }, { "tier", 0 }, { "target_ms", 300 }, { "max_wait_ms", 2000 } },
            { { "name", "payment" }, { "pool", "orders" }, { "tier", 0 }, { "target_ms", 1000 },
                { "max_wait_ms", 5000 }, { "no_repeat", true } },
            { { "name", "vouched" }, { "pool", "orders" }, { "tier", 0 }, { "target_ms", 1000 },
                { "max_wait_ms", 5000 }, { "no_repeat", true }, { "vouched_attempts", true } } } } };
    auto workspace = [](const std::string& name, const std::string& key) {
        return Json { { "name", name }, { "key_digests", { Common::sha256Hex(key) } }, { "default_class", "chat" },
            { "classes", { "urgent", "chat", "draft", "overnight", "stock", "payment", "vouched" } } };
    };
    return { { "pools", Common::dumpJson(pools) }, { "classes", Common::dumpJson(classes) },
        { "workspace/north", Common::dumpJson(workspace("north", testKey)) },
        { "workspace/south", Common::dumpJson(workspace("south", otherKey)) } };
}

} // namespace Brassladder::Testing::Harness
