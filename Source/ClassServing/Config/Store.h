// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/BackingServices/LogService.h"
#include "ClassServing/Config/Table.h"
#include "Common/Rcu.h"
#include "Inner/Mesh.h"

#include <mutex>

namespace Brassladder::ClassServing::Config {

// Owns the configuration in force. It reads the configuration stream of the log, requests missing files from peers,
// appends snapshots before the retention of the log ends, and publishes the compiled table. Thread-safe.
class Store {
public:
    struct Hooks {
        std::function<void(const std::string& peer, Inner::Wire::Item)> send;
        std::function<void()> onChange;
    };

    Store(BackingServices::LogService, Hooks);

    // Reads the log until the process ends; must run in a fiber of its own. First requests the files of the peers that
    // `peers` returns, because the log may be unreachable or no longer hold all files.
    void readLoop(const std::function<std::vector<std::string>()>& peers);

    std::shared_ptr<const Table> table() const { return m_table.load(); }
    // Returns true as soon as the router has received a configuration file from the log or a peer.
    bool isReady() const { return m_ready; }
    uint64_t digest() const;
    Common::Json status() const;

    // Requests newer files from the peer if `digest`, from the peer's heartbeat, differs from the router's own digest.
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
