// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "UnitTests/RouteServing/Routing/LeavingPath.h"

#include "RouteServing/Routing/ExchangeInterval.h"

namespace Brassladder::RouteServing::Routing {

using Common::Milliseconds;
using Common::TimePoint;

void VirtualTime::after(Milliseconds time, std::function<void()> action)
{
    m_actions.emplace(m_now + time, std::move(action));
}

void VirtualTime::runUntil(TimePoint end)
{
    while (!m_actions.empty() && m_actions.begin()->first <= end) {
        m_now = m_actions.begin()->first;
        auto action = std::move(m_actions.begin()->second);
        m_actions.erase(m_actions.begin());
        action();
    }
    m_now = end;
}

VirtualReader::VirtualReader(VirtualTime& time, const VirtualStore& store, const RefreshIntervals& intervals)
    : m_time(time)
    , m_store(store)
    , m_intervals(intervals)
    , m_hedges(intervals.upstreamReads.hedgeAfter)
{
}

void VirtualReader::readRegularly()
{
    m_isRegular = true;
    readOnce();
}

void VirtualReader::readOnce()
{
    m_read = std::make_shared<Read>(Read { m_time.now() });
    startAttempt(m_read);
}

void VirtualReader::startAttempt(const std::shared_ptr<Read>& read)
{
    auto attempt = read->attempts++;
    if (auto next = m_hedges.untilNextAttempt(read->attempts))
        m_time.after(*next, [this, read] {
            if (!read->hasEnded)
                startAttempt(read);
        });
    if (m_store.lostAttempts.contains(m_attempts++)) {
        m_time.after(m_intervals.upstreamReads.responseTimeout, [this, read] { fail(read); });
        return;
    }
    // The response states what the store knew when the attempt began.
    bool isLeaving = m_time.now() >= m_store.leavesAt;
    m_time.after(m_store.responseTime, [this, read, attempt, isLeaving] { complete(read, attempt, isLeaving); });
}

void VirtualReader::fail(const std::shared_ptr<Read>& read)
{
    ++read->failed;
    if (read->hasEnded || read->failed < read->attempts || mayAttempt(*read))
        return;
    read->hasEnded = true;
    m_hedges.recordFailure();
    m_time.after(m_intervals.backoffAfter(++m_failures), [this] { readOnce(); });
}

void VirtualReader::complete(const std::shared_ptr<Read>& read, unsigned attempt, bool isLeaving)
{
    if (read->hasEnded)
        return;
    read->hasEnded = true;
    m_read.reset();
    m_failures = 0;
    m_hedges.recordResponse(attempt, read->attempts, m_time.now() - read->started);
    bool hasChanged = isLeaving != m_list.isLeaving;
    m_list = { read->started, isLeaving };
    if (hasChanged)
        m_onChange();
    if (!m_isRegular)
        return;
    auto elapsed = Common::toMilliseconds(m_time.now() - read->started);
    m_time.after(std::max(Milliseconds(0), m_intervals.upstreamInterval - elapsed), [this] { readOnce(); });
}

VirtualSubscriber::VirtualSubscriber(VirtualTime& time, VirtualReader& own, const RefreshIntervals& intervals,
    Milliseconds exchangeTime, std::vector<Hub> hubs)
    : m_time(time)
    , m_own(own)
    , m_intervals(intervals)
    , m_exchangeTime(exchangeTime)
    , m_hubs(std::move(hubs))
    , m_outstanding(intervals.hubResponseTimeout)
{
}

bool VirtualSubscriber::isRunning(size_t hub) const
{
    const auto& stopsAt = m_hubs[hub].stopsAt;
    return !stopsAt || m_time.now() < *stopsAt;
}

void VirtualSubscriber::start()
{
    step();
    // The first list has arrived by then.
    m_time.after(m_exchangeTime + m_intervals.staleCheckInterval, [this] { checkAge(); });
}

void VirtualSubscriber::onNotification(size_t hub)
{
    if (hub == m_hub && isRunning(hub))
        request();
}

KnownList VirtualSubscriber::list() const
{
    return m_own.list().confirmedAt > m_received.confirmedAt ? m_own.list() : m_received;
}

void VirtualSubscriber::step()
{
    if (m_outstanding.isOverdue(m_time.now()))
        m_hub = (m_hub + 1) % m_hubs.size();
    request();
    m_time.after(minExchangeInterval, [this] { step(); });
}

void VirtualSubscriber::request()
{
    auto id = "hub" + std::to_string(m_hub);
    m_outstanding.setTarget(id, false);
    auto number = m_outstanding.add(id, false, m_time.now());
    if (!isRunning(m_hub))
        return;
    auto received = m_hubs[m_hub].reader->list();
    m_time.after(m_exchangeTime, [this, id, number, received] {
        if (m_outstanding.complete(id, *number) && received.confirmedAt > m_received.confirmedAt)
            m_received = received;
    });
}

void VirtualSubscriber::checkAge()
{
    bool isStale = m_time.now() - list().confirmedAt >= m_intervals.upstreamsStaleAfter;
    if (isStale && !m_own.isReading())
        m_own.readOnce();
    m_time.after(m_intervals.staleCheckInterval, [this] { checkAge(); });
}

} // namespace Brassladder::RouteServing::Routing
