// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/SendQuotas.h"

#include <algorithm>
#include <cmath>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// A limit without new information for this long is removed. Equals the longest cooldown that an upstream can set.
static constexpr Common::Milliseconds limitRetention = 1h;
// A router requests quota for the demand expected within this time span. It covers the two to three messages until a
// grant arrives.
static constexpr double demandSpanSeconds = 0.25;
// Bounds of the expected wait for a quota, which refusals give to callers as the retry time.
static constexpr Common::Milliseconds minExpectedWait = 200ms;
static constexpr Common::Milliseconds maxExpectedWait = 4000ms;

// After this many requests of other ranks, a less urgent request may be sent before more urgent ones.
static constexpr unsigned maxSendsBeforeLessUrgent = 5;

StatementChange SendQuotas::update(uint32_t key, const StatedRate& learned)
{
    auto found = m_entries.find(key);
    // Most responses state no limit, which is relevant only for an upstream that stated one before.
    bool wasEverStated = found != m_entries.end() && found->second.limit.wasStated();
    if (!wasEverStated && !learned.wasStated())
        return StatementChange::None;
    auto& entry = m_entries[key];
    auto before = entry.limit;
    auto change = entry.limit.merge(learned);
    m_isActive = true;
    // A quota that was granted at the old rate could exceed the new limit.
    if (change == StatementChange::Ended || entry.limit.perSecond < before.perSecond)
        entry.quota.clear();
    return change;
}

StatementChange SendQuotas::recordStatement(const UpstreamRecord& upstream, const RateStatement& statement,
    Common::TimePoint requestSent, Common::TimePoint now)
{
    if (!statement.perSecond && !isActive())
        return StatementChange::None;
    std::lock_guard lock(m_mutex);
    return update(statementKey(upstream), StatedRate::fromResponse(statement, requestSent, now));
}

void SendQuotas::merge(uint32_t key, const StatedRate& limit)
{
    std::lock_guard lock(m_mutex);
    update(key, limit);
}

void SendQuotas::setColdPeriod(uint32_t key, double requestsPerSecond, Common::TimePoint until)
{
    std::lock_guard lock(m_mutex);
    auto& entry = m_entries[key];
    entry.coldRate = std::min(requestsPerSecond, maxStatedRate);
    entry.coldUntil = until;
    m_isActive = true;
}

void SendQuotas::endColdPeriod(uint32_t key)
{
    if (!isActive())
        return;
    std::lock_guard lock(m_mutex);
    if (auto found = m_entries.find(key); found != m_entries.end())
        found->second.coldUntil = Common::TimePoint::min();
}

void SendQuotas::evictExpired(Common::TimePoint now)
{
    if (!isActive())
        return;
    std::lock_guard lock(m_mutex);
    std::erase_if(m_entries, [&](const auto& each) {
        const auto& entry = each.second;
        return entry.coldUntil <= now && entry.limit.learned() + limitRetention < now;
    });
    m_isActive = !m_entries.empty();
}

std::optional<double> SendQuotas::allowedRate(const Entry& entry, Common::TimePoint now)
{
    std::optional<double> rate;
    if (entry.limit.isInForce())
        rate = entry.limit.perSecond;
    if (now < entry.coldUntil)
        rate = std::min(rate.value_or(entry.coldRate), entry.coldRate);
    return rate;
}

bool SendQuotas::isLimited(uint32_t key, Common::TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_entries.find(key);
    return found != m_entries.end() && allowedRate(found->second, now);
}

unsigned SendQuotas::validRequests(const Entry& entry, Common::TimePoint now)
{
    return static_cast<unsigned>(
        std::count_if(entry.quota.begin(), entry.quota.end(), [&](auto expires) { return expires > now; }));
}

std::vector<uint32_t> SendQuotas::inForce(Common::TimePoint now) const
{
    std::vector<uint32_t> keys;
    if (!isActive())
        return keys;
    std::lock_guard lock(m_mutex);
    for (const auto& [key, entry] : m_entries) {
        if (allowedRate(entry, now))
            keys.push_back(key);
    }
    return keys;
}

// The quota is reserved while there are more urgent requests for which no upstream is available. A request is exempt
// after `maxSendsBeforeLessUrgent` sends of other ranks, so that no rank starves.
bool SendQuotas::isReservedForMoreUrgent(const Entry& entry, size_t rank, Common::TimePoint now)
{
    bool isMoreUrgentWaiting = std::any_of(entry.unplaced.begin(), entry.unplaced.lower_bound(rank),
        [&](const auto& each) { return each.second.value(now) > 0; });
    if (!isMoreUrgentWaiting)
        return false;
    auto since = entry.sentSinceLastOfRank.find(rank);
    return since == entry.sentSinceLastOfRank.end() || since->second < maxSendsBeforeLessUrgent;
}

bool SendQuotas::allowsRequest(uint32_t key, size_t rank, Common::TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_entries.find(key);
    if (found == m_entries.end() || !allowedRate(found->second, now))
        return true;
    return validRequests(found->second, now) > 0 && !isReservedForMoreUrgent(found->second, rank, now);
}

bool SendQuotas::take(uint32_t key, size_t rank, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto found = m_entries.find(key);
    if (found == m_entries.end() || !allowedRate(found->second, now))
        return true;
    auto& entry = found->second;
    std::erase_if(entry.quota, [&](auto expires) { return expires <= now; });
    if (entry.quota.empty())
        return false;
    entry.quota.pop_front();
    entry.sent.add(now);
    for (auto& [other, count] : entry.sentSinceLastOfRank)
        ++count;
    entry.sentSinceLastOfRank[rank] = 0;
    ++m_used;
    return true;
}

void SendQuotas::recordDemand(uint32_t key, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto found = m_entries.find(key);
    if (found != m_entries.end())
        found->second.demand.add(now);
}

void SendQuotas::recordUnplaced(uint32_t key, size_t rank, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto found = m_entries.find(key);
    if (found == m_entries.end())
        return;
    found->second.unplaced[rank].add(now);
    found->second.sentSinceLastOfRank.try_emplace(rank, 0);
}

std::optional<Common::Milliseconds> SendQuotas::expectedWait(
    std::span<const uint32_t> keys, Common::TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    bool isAnyLimited = false;
    double demanded = 0;
    double sent = 0;
    for (auto key : keys) {
        auto found = m_entries.find(key);
        if (found == m_entries.end() || !allowedRate(found->second, now))
            continue;
        isAnyLimited = true;
        // The same requests count as demand at each of the upstreams, so the demand is not summed.
        demanded = std::max<double>(demanded, found->second.demand.value(now));
        sent += found->second.sent.value(now);
    }
    if (!isAnyLimited)
        return std::nullopt;
    if (!sent)
        return maxExpectedWait / 4;
    auto seconds = std::max(0.0, demanded - sent) / sent;
    auto wait = Common::Milliseconds(std::llround(seconds * 1000));
    return std::clamp(wait, minExpectedWait, maxExpectedWait);
}

std::vector<SendQuotas::KnownLimit> SendQuotas::knownLimits(Common::TimePoint now) const
{
    std::vector<KnownLimit> known;
    if (!isActive())
        return known;
    std::lock_guard lock(m_mutex);
    for (const auto& [key, entry] : m_entries) {
        KnownLimit each { key, entry.limit, 0, allowedRate(entry, now) };
        if (each.rate) {
            auto soon = static_cast<unsigned>(std::ceil(entry.demand.value(now) * demandSpanSeconds));
            auto most = 1 + static_cast<unsigned>(*each.rate * demandSpanSeconds);
            auto target = std::min(soon, most);
            each.wanted = target - std::min(target, validRequests(entry, now));
        }
        known.push_back(each);
    }
    return known;
}

void SendQuotas::addGrant(uint32_t key, unsigned requests, Common::TimePoint expires)
{
    std::lock_guard lock(m_mutex);
    auto found = m_entries.find(key);
    bool isLimited = found != m_entries.end() && (found->second.limit.isInForce() || found->second.coldRate > 0);
    if (!isLimited)
        return;
    m_granted += requests;
    found->second.quota.insert(found->second.quota.end(), requests, expires);
}

SendQuotas::Summary SendQuotas::summary(Common::TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    auto limited = std::count_if(
        m_entries.begin(), m_entries.end(), [&](const auto& each) { return allowedRate(each.second, now); });
    return { static_cast<size_t>(limited), m_granted, m_used };
}

} // namespace Brassladder::RouteServing::Routing
