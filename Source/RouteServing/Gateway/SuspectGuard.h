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

// Decides whether a request may be sent now, by itself and by the parts of its prompt, and stores suspects that must
// outlive all routers.
//
// A suspect with two crashes runs exclusively: one run at a time in the whole fleet, so each crash is known before the
// next run begins. Several suspects of one request share the run, and the most suspicious one is claimed. A router
// claims the run by a conditional write to a topic in the platform's store. While the store is unreachable, each router
// only prevents concurrent runs of its own, and no trial begins. Thread-safe.
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
        Unrestricted, // The request may run like any other.
        Exclusive, // The request may run; call `release` with the suspect afterwards.
        Held, // The request must not be sent.
        TimedOut, // Another run of the request did not end in time, or the wait was abandoned.
    };
    struct Wait {
        Common::TimePoint until;
        std::function<bool()> isAbandoned;
    };
    struct Decision {
        Permission permission;
        Routing::RequestIdentity suspect {}; // That the decision is based on, unless `Unrestricted`.
    };
    // Suspends the calling fiber while another run of the decisive suspect is in progress.
    Decision acquire(const Routing::SuspectLedger::Subject&, const Wait&);
    // Ends a run that was permitted as `Exclusive`. `crashCheckPending`: it is not yet known whether the upstream
    // crashed; the next run is then delayed until the check has ended.
    void release(const Routing::RequestIdentity&, bool crashCheckPending);

    // Loads the stored suspects and keeps the store up to date while `isStoreReader` returns true. Runs until the
    // process ends; returns at once without a log.
    void runStoreSync(const std::function<bool()>& isStoreReader);

private:
    enum class Claim : uint8_t { Granted, Busy, Unavailable };

    bool beginLocalRun(const Routing::RequestIdentity&);
    void endLocalRun(const Routing::RequestIdentity&);
    using Subject = Routing::SuspectLedger::Subject;
    Claim claim(const Subject&, const Routing::SuspectLedger::Judgement&, Common::TimePoint until);
    void releaseClaim(const Routing::RequestIdentity&);
    Claim claimInStore(const Subject&, const Routing::RequestIdentity& suspect, Common::TimePoint until);
    // Reads the stored suspects and merges them into the ledger.
    Common::Result<SuspectLogSource::Contents> read();
    enum class OwnClaims : uint8_t { Keep, Release };
    // Writes the current records of the suspects to the store.
    Common::Status store(std::vector<Routing::SuspectRecord>, OwnClaims);
    bool syncWithStore(bool hasLoaded, uint64_t& storedRevision);

    Routing::SuspectLedger& m_ledger;
    std::optional<SuspectLogSource> m_log; // nullopt if the platform has no log.
    const std::string m_routerId;
    std::mutex m_mutex;
    std::set<Routing::RequestIdentity> m_exclusiveRuns; // On this router. Guarded by the mutex.
};

} // namespace Brassladder::RouteServing::Gateway
