// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

// Claims of keys of requests that may not be repeated: the first claim of a key in log order wins.
namespace Brassladder::ClassServing::Claims {

enum class Verdict : uint8_t {
    Won, // The key is this request's.
    Taken, // Another request holds the key; it may run, have run, or have been lost.
    Ended, // Another request held the key, and it ran to its end.
    Unclaimed, // Only for a read without a claim.
    Unavailable, // The log did not confirm in time. The claim may still take effect.
};

std::string_view name(Verdict);

struct KeyAndRequest {
    std::string key;
    std::string requestId;
};

// One record of a claim stream: what one claim router collected within an interval.
struct ClaimBatch {
    std::vector<KeyAndRequest> claimed;
    std::vector<KeyAndRequest> freed; // Withdrawn before anything was sent.
    std::vector<KeyAndRequest> ended;
    bool isEmpty() const { return claimed.empty() && freed.empty() && ended.empty(); }
};

std::string encodeBatch(const ClaimBatch&);
// Empty when the text is not a batch.
ClaimBatch decodeBatch(std::string_view);

// The state of one partition's keys. A claim holds for the horizon, counted on the log's clock.
class ClaimFold {
public:
    explicit ClaimFold(Common::Milliseconds horizon)
        : m_horizon(horizon)
    {
    }

    void apply(int64_t timeMs, const ClaimBatch&);
    void expire(int64_t nowMs);
    // How a request stands with a key: Won, Taken, Ended or Unclaimed.
    Verdict verdict(const std::string& key, const std::string& requestId) const;
    // The request that holds a key; empty when none does.
    std::string holder(const std::string& key) const;
    size_t size() const { return m_claims.size(); }

private:
    struct Claim {
        std::string requestId;
        int64_t timeMs { 0 };
        bool ended { false };
    };
    struct Expiry {
        int64_t timeMs { 0 };
        KeyAndRequest what;
    };

    Common::Milliseconds m_horizon;
    std::unordered_map<std::string, Claim> m_claims;
    // A claim record that arrives after the claimant withdrew must not take the key.
    std::unordered_set<std::string> m_freedRequests;
    std::deque<Expiry> m_expiries;
};

} // namespace Brassladder::ClassServing::Claims
