// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Duties/Lease.h"

#include <algorithm>

namespace Brassladder::RouteServing::Duties {

using Common::Milliseconds;
using Common::TimePoint;

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
    if (!isHolder() || now >= m_state.validFrom + m_times.duration - m_times.margin)
        return std::nullopt;
    return m_state.newest->token;
}

// When this router, if it reads nothing new, may take what another one holds or has released.
TimePoint Lease::claimableFrom() const
{
    // What was released is free at once, but not to a router that may have held it a moment ago, before it was started
    // again: holders would change back and forth.
    auto from = m_state.newest->isReleased ? m_started + m_times.duration : m_state.newestSeen + m_times.duration;
    return m_state.lastHeld ? std::max(from, *m_state.lastHeld + m_times.comeback) : from;
}

bool Lease::mayClaim(TimePoint now) const
{
    // Nobody ever held the duties.
    if (!m_state.newest)
        return true;
    // An earlier process of this very instance: nobody else has acted since.
    if (m_state.newest->holder == m_id && m_state.newest->incarnation != m_incarnation && !m_state.newest->isReleased)
        return true;
    // A read that began before may have missed a renewal.
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
        if (m_state.wantsNewToken)
            return Step::Claim;
        return now >= m_state.validFrom + m_times.renewalInterval() ? Step::Renew : Step::Wait;
    }
    if (!mayHold)
        return Step::Wait;
    return !m_state.mustRead && mayClaim(now) ? Step::Claim : Step::Read;
}

Milliseconds Lease::readWait(TimePoint now) const
{
    if (m_state.mustRead || !m_state.newest)
        return Milliseconds(0);
    return std::max(Milliseconds(0), Common::toMilliseconds(claimableFrom() - now) + Milliseconds(1));
}

void Lease::apply(const LoggedRecord& logged, TimePoint now)
{
    m_state.end = logged.offset + 1;
    if (!logged.record)
        return;
    if (const auto* lease = std::get_if<LeaseRecord>(&*logged.record)) {
        m_state.newest = *lease;
        m_state.firstUnreported = std::max(m_state.firstUnreported, lease->firstUnreported);
    }
    m_state.newestOffset = logged.offset;
    m_state.newestSeen = now;
    bool isOurs = isHolder();
    if (isOurs && m_state.sent)
        m_state.validFrom = *m_state.sent;
    if (isOurs)
        m_state.lastHeld = now;
}

void Lease::recordRead(std::span<const LoggedRecord> records, uint64_t end, TimePoint started, TimePoint now)
{
    for (const auto& record : records) {
        // What was appended at the end that this router knew tells the fate of its own append there.
        if (m_state.newestOffset && record.offset <= *m_state.newestOffset)
            continue;
        apply(record, now);
        m_state.sent.reset();
    }
    if (end != m_state.end)
        m_state.sent.reset();
    m_state.end = end;
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
    record.token = step == Step::Claim ? m_state.end + 1 : m_state.newest->token;
    return record;
}

void Lease::recordSent(TimePoint now)
{
    if (!m_state.sent)
        m_state.sent = now;
}

void Lease::recordAppended(const DutyRecord& record)
{
    auto sent = *m_state.sent;
    if (const auto* lease = std::get_if<LeaseRecord>(&record)) {
        m_state.wantsNewToken &= m_state.newest && lease->token == m_state.newest->token;
        m_state.newest = *lease;
    }
    m_state.newestOffset = m_state.end;
    m_state.newestSeen = sent;
    m_state.validFrom = sent;
    m_state.lastHeld = sent;
    m_state.sent.reset();
    ++m_state.end;
}

} // namespace Brassladder::RouteServing::Duties
