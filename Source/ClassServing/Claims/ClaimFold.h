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

// Claims ensure that a request which must not be repeated runs at most once. The first claim of a key in log order
// wins.
namespace Brassladder::ClassServing::Claims {

enum class Verdict : uint8_t {
    Won, // This request holds the key.
    Taken, // Another request holds the key. Whether that request has run is unknown.
    Ended, // Another request holds the key and has completed.
    Unclaimed, // No request holds the key. Only returned for a read without a claim.
    Unavailable, // The log did not confirm the claim in time. The claim may still take effect.
};

std::string_view name(Verdict);

struct KeyAndRequest {
    std::string key;
    std::string requestId;
};

// One record of a claim stream: the claims and updates that a claim router collected within one interval.
struct ClaimBatch {
    std::vector<KeyAndRequest> claimed;
    std::vector<KeyAndRequest> freed; // Withdrawn before the request was sent.
    std::vector<KeyAndRequest> ended;
    bool isEmpty() const { return claimed.empty() && freed.empty() && ended.empty(); }
};

std::string encodeBatch(const ClaimBatch&);
// Returns an empty batch if the text is not a valid batch. Skips malformed pairs.
ClaimBatch decodeBatch(std::string_view);

// The state of the keys of one partition, built from the records of its claim stream. A claim expires after the
// horizon, measured by the clock of the log. Not thread-safe.
class ClaimFold {
public:
    explicit ClaimFold(Common::Milliseconds horizon)
        : m_horizon(horizon)
    {
    }

    void apply(int64_t timeMs, const ClaimBatch&);
    void expire(int64_t nowMs);
    // Returns the verdict on a key for a request: Won, Taken, Ended or Unclaimed.
    Verdict verdict(const std::string& key, const std::string& requestId) const;
    // Returns the id of the request that holds the key, or an empty string if there is none.
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
    // Ids of withdrawn requests. Their claims are ignored, because a resent claim may be recorded after the
    // withdrawal.
    std::unordered_set<std::string> m_freedRequests;
    std::deque<Expiry> m_expiries;
};

} // namespace Brassladder::ClassServing::Claims
