// SPDX-License-Identifier: Apache-2.0
#include "Routing/UpstreamBoard.h"

#include "Common/Digest.h"

#include <algorithm>
#include <limits>

namespace Brassladder::Routing {

using namespace std::chrono_literals;

// What a worker says of itself is believed for this long.
static constexpr Common::Milliseconds reportLife = 300ms;
// Cost of another failure domain for a plain call, in shares of a worker: bytes between domains are paid for, and the
// way there and back takes a part of a short call.
static constexpr double otherDomainCost = 0.34;
// An upstream that fails more of its requests than the best of its service is taken last. Below this difference it may
// be chance.
static constexpr double suspiciousExcess = 0.25;
static constexpr double suspicionCost = 4.0;
// What one running request costs a new prompt, in prompt tokens: it lengthens each step of the batch.
static constexpr double runningTokens = 150;

void UpstreamBoard::setUpstreams(std::vector<UpstreamRecord> records)
{
    std::lock_guard lock(m_mutex);
    std::map<std::string, Entry, std::less<>> next;
    for (auto& record : records) {
        auto id = record.id;
        auto known = m_entries.find(id);
        Entry entry = known == m_entries.end() ? Entry {} : known->second;
        // Leaving is final: a late list does not bring an upstream back.
        record.leaving |= entry.record.leaving;
        entry.record = std::move(record);
        next.emplace(std::move(id), std::move(entry));
    }
    m_entries = std::move(next);
    sumPeers();
}

void UpstreamBoard::markLeaving(std::string_view id)
{
    std::lock_guard lock(m_mutex);
    if (auto* entry = find(id))
        entry->record.leaving = true;
}

bool UpstreamBoard::isServing(std::string_view id) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_entries.find(id);
    return found != m_entries.end() && !found->second.record.leaving;
}

size_t UpstreamBoard::size() const
{
    std::lock_guard lock(m_mutex);
    return m_entries.size();
}

UpstreamBoard::Entry* UpstreamBoard::find(std::string_view id)
{
    auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

double UpstreamBoard::plainCost(const Entry& entry, Common::TimePoint now) const
{
    double outstanding = entry.own.requests + entry.peers.requests;
    if (now - entry.reportedAt < reportLife)
        outstanding = std::max<double>(outstanding, entry.reported.running + entry.reported.waiting);
    double cost = (outstanding + 1) / std::max(1u, entry.record.slots);
    if (entry.record.failureDomain != m_failureDomain)
        cost += otherDomainCost;
    return cost;
}

double UpstreamBoard::engineCost(const Entry& entry, const Prompt& prompt, bool isCached) const
{
    double unread = prompt.tokens - (isCached ? std::min(prompt.tokens, prompt.sharedTokens()) : 0);
    double waiting = static_cast<double>(entry.own.unreadTokens + entry.peers.unreadTokens);
    return unread + waiting + runningTokens * (entry.own.requests + entry.peers.requests);
}

std::optional<UpstreamBoard::Choice> UpstreamBoard::choose(const Need& need, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    std::vector<const Entry*> candidates;
    double lowestFailureShare = 1;
    bool allOut = true;
    for (const auto& [id, entry] : m_entries) {
        if (entry.record.service != need.service || entry.record.leaving)
            continue;
        if (std::find(need.tried.begin(), need.tried.end(), id) != need.tried.end())
            continue;
        candidates.push_back(&entry);
        allOut &= entry.health.isOut(now);
        lowestFailureShare = std::min(lowestFailureShare, entry.health.failureShare(now));
    }
    const auto* subject = need.prompt ? need.prompt->subject() : nullptr;
    const Entry* home = nullptr;
    uint64_t homeScore = 0;
    for (const auto* entry : candidates) {
        if (!subject || entry->health.isOut(now))
            continue;
        auto score = Common::stableHash(entry->record.id, subject->id);
        if (!home || score > homeScore) {
            home = entry;
            homeScore = score;
        }
    }
    const Entry* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (const auto* entry : candidates) {
        if (!allOut && entry->health.isOut(now))
            continue;
        double cost = need.prompt ? engineCost(*entry, *need.prompt, entry == home) : plainCost(*entry, now);
        if (entry->health.failureShare(now) - lowestFailureShare > suspiciousExcess)
            cost *= 1 + suspicionCost;
        // Equal costs: by chance, so that routers do not all choose the same one.
        cost *= 1 + 0.02 * static_cast<double>(Common::randomNumber() % 1024) / 1024;
        if (cost < bestCost) {
            best = entry;
            bestCost = cost;
        }
    }
    if (!best)
        return std::nullopt;
    uint64_t unread = 0;
    if (need.prompt)
        unread = need.prompt->tokens - (best == home ? std::min(need.prompt->tokens, need.prompt->sharedTokens()) : 0);
    return Choice { best->record, unread };
}

void UpstreamBoard::began(const Choice& choice)
{
    std::lock_guard lock(m_mutex);
    auto* entry = find(choice.upstream.id);
    if (!entry)
        return;
    ++entry->own.requests;
    entry->own.unreadTokens += choice.unreadTokens;
}

void UpstreamBoard::promptRead(const Choice& choice)
{
    std::lock_guard lock(m_mutex);
    if (auto* entry = find(choice.upstream.id))
        entry->own.unreadTokens -= std::min(entry->own.unreadTokens, choice.unreadTokens);
}

void UpstreamBoard::ended(const Choice& choice, bool wasRead, TryOutcome outcome, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto* entry = find(choice.upstream.id);
    if (!entry)
        return;
    entry->own.requests -= std::min(1u, entry->own.requests);
    if (!wasRead)
        entry->own.unreadTokens -= std::min(entry->own.unreadTokens, choice.unreadTokens);
    entry->health.record(outcome, now);
}

void UpstreamBoard::reported(std::string_view id, const ReportedLoad& load, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    if (auto* entry = find(id)) {
        entry->reported = load;
        entry->reportedAt = now;
    }
}

std::map<std::string, UpstreamLoad> UpstreamBoard::ownLoads() const
{
    std::lock_guard lock(m_mutex);
    std::map<std::string, UpstreamLoad> loads;
    for (const auto& [id, entry] : m_entries) {
        if (entry.own.requests)
            loads.emplace(id, entry.own);
    }
    return loads;
}

void UpstreamBoard::setPeerLoads(std::string_view peer, std::map<std::string, UpstreamLoad> loads)
{
    std::lock_guard lock(m_mutex);
    m_peerLoads.insert_or_assign(std::string(peer), std::move(loads));
    sumPeers();
}

void UpstreamBoard::dropPeer(std::string_view peer)
{
    std::lock_guard lock(m_mutex);
    if (auto found = m_peerLoads.find(peer); found != m_peerLoads.end())
        m_peerLoads.erase(found);
    sumPeers();
}

void UpstreamBoard::sumPeers()
{
    for (auto& [id, entry] : m_entries)
        entry.peers = {};
    for (const auto& [peer, loads] : m_peerLoads) {
        for (const auto& [id, load] : loads) {
            if (auto* entry = find(id)) {
                entry->peers.requests += load.requests;
                entry->peers.unreadTokens += load.unreadTokens;
            }
        }
    }
}

} // namespace Brassladder::Routing
