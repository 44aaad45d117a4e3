// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Duties/Lease.h"

#include <algorithm>

namespace Brassladder::RouteServing::Duties {

using Common::Milliseconds;
using Common::TimePoint;

// Bits of a token below its era. Below era 2^21, tokens are less than 2^53 and thus exact as JSON numbers.
static constexpr unsigned offsetBits = 32;

uint64_t tokenAt(const LogEnd& end) { return (end.era << offsetBits) + end.offset + 1; }

static uint64_t eraOf(uint64_t token) { return token >> offsetBits; }

Lease::Lease(LeaseTimes times, std::string id, uint64_t incarnation, TimePoint started)
    : m_times(times)
    , m_id(std::move(id))
    , m_incarnation(incarnation)
    , m_started(started)
{
}

bool Lease::isOwn(const LeaseRecord& record) const
{
    return record.holder == m_id && record.incarnation == m_incarnation;
}

bool Lease::isHolder() const { return m_state.newest && isOwn(*m_state.newest) && !m_state.newest->isReleased; }

std::optional<uint64_t> Lease::token(TimePoint now) const
{
    if (!isHolder() || m_state.mustReclaim || now >= validUntil())
        return std::nullopt;
    return m_state.newest->token;
}

// Returns when this router may claim the lease if it reads no newer record.
TimePoint Lease::claimableFrom() const
{
    // A released lease is claimable at once, except by a router that has just started: its previous process may have
    // released the lease, and claiming it back would make it alternate between holders.
    auto from = m_state.newest->isReleased ? m_started + m_times.duration : m_state.newestSeen + m_times.duration;
    return m_state.lastHeld ? std::max(from, *m_state.lastHeld + m_times.reclaimDelay) : from;
}

TimePoint Lease::eraClaimableFrom() const
{
    return m_state.eraFirstReadAt ? *m_state.eraFirstReadAt + m_times.duration : TimePoint::min();
}

bool Lease::mayClaim(TimePoint now) const
{
    if (m_state.readStarted < eraClaimableFrom())
        return false;
    // The log contains no claim.
    if (!m_state.newest)
        return true;
    // The newest claim is of an earlier process of this instance, so no other router holds the lease.
    if (m_state.newest->holder == m_id && m_state.newest->incarnation != m_incarnation && !m_state.newest->isReleased)
        return true;
    // The log is known only up to the start of the last read; a later renewal may be missing.
    auto seenUntil = m_state.newest->isReleased ? now : m_state.readStarted;
    return seenUntil >= claimableFrom();
}

Lease::Step Lease::nextStep(const Situation& situation, TimePoint now) const
{
    bool mayHold = situation.isCandidate && !situation.isStopping;
    if (isHolder()) {
        if (m_state.mustRead)
            return Step::Read;
        if (!mayHold)
            return Step::Release;
        if (m_state.isNewTokenRequired || m_state.mustReclaim)
            return Step::Claim;
        return now >= m_state.validFrom + m_times.renewalInterval() ? Step::Renew : Step::Wait;
    }
    if (!mayHold)
        return Step::Wait;
    return !m_state.mustRead && mayClaim(now) ? Step::Claim : Step::Read;
}

Milliseconds Lease::readWait(TimePoint now) const
{
    if (m_state.mustRead)
        return Milliseconds(0);
    auto from = m_state.newest ? std::max(claimableFrom(), eraClaimableFrom()) : eraClaimableFrom();
    if (from <= now)
        return Milliseconds(0);
    return Common::toMilliseconds(from - now) + Milliseconds(1);
}

void Lease::applyLease(LeaseRecord lease)
{
    m_state.firstUnreported = std::max(m_state.firstUnreported, lease.firstUnreported);
    const auto& newest = m_state.newest;
    bool isOfEarlierEra = eraOf(lease.token) < m_state.end.era;
    bool isKnown = newest && lease.token == newest->token;
    bool isSuperseded = newest && (lease.token < newest->token || (isKnown && newest->isReleased));
    if (isSuperseded || (isOfEarlierEra && isKnown))
        return;
    // The record is part of the copy that the store was restored from, or its writer had not read the new era yet. It
    // is not a valid claim in this era, even if this router wrote it.
    lease.isReleased |= isOfEarlierEra;
    m_state.newest = std::move(lease);
}

void Lease::apply(const LoggedRecord& logged, TimePoint now)
{
    m_state.end.offset = logged.offset + 1;
    if (!logged.record)
        return;
    if (const auto* lease = std::get_if<LeaseRecord>(&*logged.record))
        applyLease(*lease);
    m_state.newestOffset = logged.offset;
    m_state.newestSeen = now;
    bool isOwnLease = isHolder();
    if (isOwnLease && m_state.unresolvedAppendAt)
        m_state.validFrom = *m_state.unresolvedAppendAt;
    if (isOwnLease)
        m_state.lastHeld = now;
}

void Lease::beginEra(uint64_t era, TimePoint started)
{
    m_state.mustReclaim = isHolder() && started < validUntil();
    // Another router may have claimed the expired lease, and the store may have lost that claim.
    if (isHolder() && !m_state.mustReclaim)
        m_state.newest->isReleased = true;
    m_state.end.era = era;
    m_state.eraFirstReadAt = started;
    m_state.newestOffset.reset();
    m_state.unresolvedAppendAt.reset();
}

void Lease::recordRead(std::span<const LoggedRecord> records, const LogEnd& end, TimePoint started, TimePoint now)
{
    if (end.era > m_state.end.era)
        beginEra(end.era, started);
    for (const auto& record : records) {
        // Once a record occupies the offset of this router's unresolved append, that append can no longer succeed.
        if (m_state.newestOffset && record.offset <= *m_state.newestOffset)
            continue;
        apply(record, now);
        m_state.unresolvedAppendAt.reset();
    }
    if (end.offset != m_state.end.offset)
        m_state.unresolvedAppendAt.reset();
    m_state.end.offset = end.offset;
    m_state.readStarted = started;
    m_state.mustRead = false;
}

LeaseRecord Lease::recordFor(Step step) const
{
    LeaseRecord record;
    record.holder = m_id;
    record.incarnation = m_incarnation;
    record.firstUnreported = m_state.firstUnreported;
    record.isReleased = step == Step::Release;
    record.token = step == Step::Claim ? tokenAt(m_state.end) : m_state.newest->token;
    return record;
}

void Lease::recordSent(TimePoint now)
{
    if (!m_state.unresolvedAppendAt)
        m_state.unresolvedAppendAt = now;
}

void Lease::recordAppended(const DutyRecord& record)
{
    auto unresolvedAppendAt = *m_state.unresolvedAppendAt;
    if (const auto* lease = std::get_if<LeaseRecord>(&record)) {
        bool isSameClaim = m_state.newest && lease->token == m_state.newest->token;
        m_state.isNewTokenRequired &= isSameClaim;
        m_state.mustReclaim &= isSameClaim;
        m_state.newest = *lease;
    }
    m_state.newestOffset = m_state.end.offset;
    m_state.newestSeen = unresolvedAppendAt;
    m_state.validFrom = unresolvedAppendAt;
    m_state.lastHeld = unresolvedAppendAt;
    m_state.unresolvedAppendAt.reset();
    ++m_state.end.offset;
}

} // namespace Brassladder::RouteServing::Duties
