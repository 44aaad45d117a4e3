// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Claims/ClaimFold.h"

#include "Common/Json.h"

namespace Brassladder::ClassServing::Claims {

using Common::Json;

static Json toJson(const std::vector<KeyAndRequest>& pairs)
{
    Json list = Json::array();
    for (const auto& pair : pairs)
        list.push_back({ pair.key, pair.requestId });
    return list;
}

static std::vector<KeyAndRequest> fromJson(const Json& batch, const char* name)
{
    std::vector<KeyAndRequest> pairs;
    if (!batch.is_object() || !batch.contains(name) || !batch[name].is_array())
        return pairs;
    for (const auto& pair : batch[name]) {
        bool fits = pair.is_array() && pair.size() == 2 && pair[0].is_string() && pair[1].is_string();
        if (fits)
            pairs.push_back({ pair[0].get<std::string>(), pair[1].get<std::string>() });
    }
    return pairs;
}

std::string_view name(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Won:
        return "won";
    case Verdict::Taken:
        return "taken";
    case Verdict::Ended:
        return "ended";
    case Verdict::Unclaimed:
        return "unclaimed";
    case Verdict::Unavailable:
        return "unavailable";
    }
    return "";
}

std::string encodeBatch(const ClaimBatch& batch)
{
    Json json = Json::object();
    if (!batch.claimed.empty())
        json["claimed"] = toJson(batch.claimed);
    if (!batch.freed.empty())
        json["freed"] = toJson(batch.freed);
    if (!batch.ended.empty())
        json["ended"] = toJson(batch.ended);
    return Common::dumpJson(json);
}

ClaimBatch decodeBatch(std::string_view text)
{
    Json json = Common::parseJson(text);
    return { fromJson(json, "claimed"), fromJson(json, "freed"), fromJson(json, "ended") };
}

void ClaimFold::apply(int64_t timeMs, const ClaimBatch& batch)
{
    for (const auto& freed : batch.freed) {
        m_freedRequests.insert(freed.requestId);
        m_expiries.push_back({ timeMs, freed });
        auto found = m_claims.find(freed.key);
        if (found != m_claims.end() && found->second.requestId == freed.requestId)
            m_claims.erase(found);
    }
    for (const auto& claimed : batch.claimed) {
        if (m_freedRequests.contains(claimed.requestId))
            continue;
        auto [place, isFirst] = m_claims.try_emplace(claimed.key, Claim { claimed.requestId, timeMs, false });
        if (isFirst)
            m_expiries.push_back({ timeMs, claimed });
    }
    for (const auto& ended : batch.ended) {
        auto found = m_claims.find(ended.key);
        if (found != m_claims.end() && found->second.requestId == ended.requestId)
            found->second.ended = true;
    }
}

void ClaimFold::expire(int64_t nowMs)
{
    while (!m_expiries.empty() && m_expiries.front().timeMs + m_horizon.count() < nowMs) {
        const auto& [timeMs, what] = m_expiries.front();
        auto found = m_claims.find(what.key);
        if (found != m_claims.end() && found->second.requestId == what.requestId)
            m_claims.erase(found);
        m_freedRequests.erase(what.requestId);
        m_expiries.pop_front();
    }
}

std::string ClaimFold::holder(const std::string& key) const
{
    auto found = m_claims.find(key);
    return found == m_claims.end() ? std::string() : found->second.requestId;
}

Verdict ClaimFold::verdict(const std::string& key, const std::string& requestId) const
{
    auto found = m_claims.find(key);
    if (found == m_claims.end())
        return Verdict::Unclaimed;
    if (found->second.requestId == requestId)
        return Verdict::Won;
    return found->second.ended ? Verdict::Ended : Verdict::Taken;
}

} // namespace Brassladder::ClassServing::Claims
