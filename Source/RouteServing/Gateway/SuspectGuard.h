// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Gateway/PlatformSources.h"
#include "RouteServing/Routing/SuspectLedger.h"

#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace Brassladder::RouteServing::Gateway {

// Decides for each request that is suspected whether it may be sent on now, and keeps what must outlive all routers in
// the platform's store.
//
// A request under which two upstreams have crashed runs alone: one run in the whole fleet at a time, so that each crash
// is known before the next run begins. Who runs it is settled by a conditional write to a topic of our own in the
// store; when the store cannot be reached, each router sees to it for itself. Safe to use from several threads.
class SuspectGuard {
public:
    SuspectGuard(Routing::SuspectLedger& ledger, std::optional<SuspectLogSource> log, std::string routerId)
        : m_ledger(ledger)
        , m_log(std::move(log))
        , m_routerId(std::move(routerId))
    {
    }

    Routing::SuspectLedger& ledger() { return m_ledger; }

    enum class Permission : uint8_t {
        Unrestricted, // Run it as any other.
        Exclusive, // Run it, and release it afterwards.
        Held, // It is not to be sent on.
        TimedOut, // Another run of it went on until the end of the wait.
    };
    struct Wait {
        Common::TimePoint until;
        std::function<bool()> isAbandoned;
    };
    // Suspends the calling fiber while another run of the request goes on.
    Permission acquire(const Routing::RequestIdentity&, const Wait&);
    // The run that was permitted with `Exclusive` is over. `crashCheckPending`: whether its upstream has crashed is
    // being found out, and the next run waits for that.
    void release(const Routing::RequestIdentity&, bool crashCheckPending);

    // Keeps the store up to date with what this router knows, as long as `isStoreReader` says that it is its task, and
    // reads what was stored before. Runs until the process ends.
    void runStoreSync(const std::function<bool()>& isStoreReader);

private:
    enum class Claim : uint8_t { Granted, Busy, Unavailable };

    bool beginLocalRun(const Routing::RequestIdentity&);
    void endLocalRun(const Routing::RequestIdentity&);
    Claim claim(const Routing::RequestIdentity&, Common::TimePoint until);
    void releaseClaim(const Routing::RequestIdentity&);
    Claim claimInStore(const Routing::RequestIdentity&, Common::TimePoint until);
    // What is stored, merged into the ledger.
    Common::Result<SuspectLogSource::Contents> read();
    enum class OwnClaims : uint8_t { Keep, Release };
    // Writes what this router knows of the suspects.
    Common::Status store(std::vector<Routing::SuspectRecord>, OwnClaims);
    bool syncWithStore(bool hasLoaded, uint64_t& storedRevision);

    Routing::SuspectLedger& m_ledger;
    std::optional<SuspectLogSource> m_log; // None without a platform that keeps a log.
    const std::string m_routerId;
    std::mutex m_mutex;
    std::set<Routing::RequestIdentity> m_exclusiveRuns; // On this router. Guarded by the mutex.
};

} // namespace Brassladder::RouteServing::Gateway
