// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/BackingServices/LogService.h"
#include "ClassServing/Config/Table.h"
#include "Common/Rcu.h"
#include "Inner/Mesh.h"

#include <mutex>

namespace Brassladder::ClassServing::Config {

// Owns the configuration in force: follows the log, fetches from peers what is missing, writes snapshots before the
// log's retention ends, and publishes the compiled table. Safe to use from several threads.
class Store {
public:
    struct Hooks {
        std::function<void(const std::string& peer, Inner::Wire::Item)> send;
        std::function<void()> onChange;
    };

    Store(BackingServices::LogService, Hooks);

    // Follows the log until the process ends; to be run in a fiber of its own. Before it reads the log it asks the
    // peers that `peers` names, so that a log that has lost old records does not mislead a new instance.
    void follow(const std::function<std::vector<std::string>()>& peers);

    std::shared_ptr<const Table> table() const { return m_table.load(); }
    // True once the router has some configuration and has caught up with the log or a peer.
    bool isReady() const { return m_ready; }
    uint64_t digest() const;
    Common::Json status() const;

    // A peer's heartbeat shows another set of versions: requests from it what differs.
    void requestIfDifferent(const std::string& peer, uint64_t digest);
    void onRequest(const std::string& peer, const Inner::Wire::ConfigRequest&);
    void onState(const Inner::Wire::ConfigState&);

private:
    void applyPage(const BackingServices::LogPage&);
    void compileLocked();
    void writeDueSnapshots(const BackingServices::LogPage&);
    void requestFrom(const std::string& peer);

    BackingServices::LogService m_log;
    Hooks m_hooks;
    mutable std::mutex m_mutex;
    Fold m_fold;
    Compiler m_compiler;
    std::map<std::string, std::vector<Common::Fault>> m_heldBack;
    uint64_t m_next { 1 };
    bool m_logReplaced { false };
    std::atomic<bool> m_logReachable { false };
    std::atomic<bool> m_ready { false };
    Common::RcuCell<Table> m_table;
};

} // namespace Brassladder::ClassServing::Config
