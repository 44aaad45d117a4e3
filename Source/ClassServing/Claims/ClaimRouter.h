// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/BackingServices/LogService.h"
#include "ClassServing/Claims/ClaimFold.h"
#include "Common/Precompiled.h"

#include <mutex>

namespace Brassladder::ClassServing::Claims {

// Decides the claims of the partitions that this router is responsible for. Claims that arrive within one interval are
// appended as one record (group commit). Verdicts are derived only from records that were read back from the log, so
// two claim routers of one partition return the same verdicts, even if the process of one was suspended. If the
// response to an append is lost, the record is still read from the log, and a repeated record has no effect.
// Thread-safe.
class ClaimRouter {
public:
    using VerdictHandler = std::function<void(Verdict)>;
    // Time after which a claim expires. Callers may retry a request with the same key within this time.
    static constexpr Common::Milliseconds defaultHorizon = std::chrono::hours(24);
    // Minimum interval between two appends to one partition; limits the rate of appends to the log.
    static constexpr Common::Milliseconds defaultInterval { 50 };
    // Time after which an undecided claim receives the verdict Unavailable.
    static constexpr Common::Milliseconds defaultTimeout { 1500 };
    // A partition without requests for this time is closed. Its state is read from the log again when it is needed.
    static constexpr Common::Milliseconds defaultIdleTime = std::chrono::minutes(2);

    struct Options {
        Common::Milliseconds horizon { defaultHorizon };
        Common::Milliseconds interval { defaultInterval };
        Common::Milliseconds timeout { defaultTimeout };
        Common::Milliseconds idleTime { defaultIdleTime };
    };

    ClaimRouter(BackingServices::LogService, Options);

    // Calls the handler before it returns, or later from another fiber. With `readOnly`, reads the state of the key
    // without a claim.
    void request(uint32_t partition, KeyAndRequest, bool readOnly, const VerdictHandler&);
    void markFreed(uint32_t partition, KeyAndRequest);
    void markEnded(uint32_t partition, KeyAndRequest);

private:
    struct Pending {
        KeyAndRequest what;
        bool readOnly { false };
        Common::TimePoint deadline;
        VerdictHandler answer;
    };
    struct Partition {
        uint32_t number { 0 };
        std::mutex mutex;
        ClaimFold fold;
        uint64_t nextOffset { 1 };
        bool caughtUp { false };
        bool reachable { true };
        std::vector<Pending> pending;
        ClaimBatch updates; // Freed and ended requests for the next append.
        bool appending { false }; // An append is in progress. Its updates return to `updates` if it fails.
        // Requests whose withdrawal is not read back from the log yet. No verdict is returned for their keys until
        // then.
        std::unordered_set<std::string> freeingRequests;
        Common::TimePoint lastUsed;
        explicit Partition(Common::Milliseconds horizon)
            : fold(horizon)
        {
        }
    };

    std::shared_ptr<Partition> openPartition(uint32_t partition);
    void readLoop(const std::shared_ptr<Partition>&);
    void appendLoop(const std::shared_ptr<Partition>&);
    void applyPage(Partition&, const BackingServices::LogPage&);
    void resolvePending(Partition&);

    BackingServices::LogService m_log;
    Options m_options;
    std::mutex m_mutex;
    std::map<uint32_t, std::shared_ptr<Partition>> m_partitions;
};

} // namespace Brassladder::ClassServing::Claims
