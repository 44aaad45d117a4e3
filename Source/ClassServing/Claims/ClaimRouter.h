// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/BackingServices/LogService.h"
#include "ClassServing/Claims/ClaimFold.h"
#include "Common/Precompiled.h"

#include <mutex>

namespace Brassladder::ClassServing::Claims {

// Settles the claims of the partitions that this router is the claim router of. Claims that arrive within one interval
// are written as one record (group commit). A verdict is only ever read from the log: an append whose response was lost
// is settled by the record itself, and a resend of it changes nothing. So two claim routers for one partition, or one
// that was stopped and goes on, cannot give different verdicts. Safe to use from several threads.
class ClaimRouter {
public:
    using VerdictHandler = std::function<void(Verdict)>;
    // How long a key holds: a day, in which callers repeat what they heard nothing of.
    static constexpr Common::Milliseconds defaultHorizon = std::chrono::hours(24);
    // Between two appends to one partition: at most 20 a second, of the log's hundred (brief).
    static constexpr Common::Milliseconds defaultInterval { 50 };
    // For one claim, until it is answered Unavailable. Chosen, not measured.
    static constexpr Common::Milliseconds defaultTimeout { 1500 };
    // A partition that was not asked for in this time is no longer followed; its state is read again when needed.
    // Chosen, not measured.
    static constexpr Common::Milliseconds defaultIdleTime = std::chrono::minutes(2);

    struct Options {
        Common::Milliseconds horizon { defaultHorizon };
        Common::Milliseconds interval { defaultInterval };
        Common::Milliseconds timeout { defaultTimeout };
        Common::Milliseconds idleTime { defaultIdleTime };
    };

    ClaimRouter(BackingServices::LogService, Options);

    // Calls the hook at once, or later from another fiber. With `readOnly` nothing is claimed.
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
        ClaimBatch updates; // Freed and ended, to go out with the next append.
        bool appending { false }; // Updates of a failed append come back.
        // Requests whose claims are being freed: until the log shows it, their keys are neither theirs nor taken.
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
