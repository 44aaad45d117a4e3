// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/UsageExchange.h"

#include "RouteServing/Gateway/UsageCodec.h"

namespace Brassladder::RouteServing::Gateway {

using Common::Milliseconds;

UsageExchange::UsageExchange(Duties::RouterProcess self, Duties::UsageTimes times, SystemClock systemClock)
    : m_self(std::move(self))
    , m_times(times)
    , m_systemClock(std::move(systemClock))
    , m_clock(m_systemClock(), Common::now())
    , m_ledger(m_self, times.windowAt(m_clock.ownTime(Common::now())))
{
}

Milliseconds UsageExchange::advanceClock()
{
    auto now = Common::now();
    m_clock.observeSystem(m_systemClock(), now);
    auto time = m_clock.agreedTime(now);
    m_ledger.advance(m_times.windowAt(time));
    return time;
}

void UsageExchange::count(std::string_view workspace)
{
    std::lock_guard lock(m_mutex);
    m_ledger.count(workspace, m_times.windowAt(advanceClock()));
}

void UsageExchange::finish()
{
    std::lock_guard lock(m_mutex);
    m_ledger.finish();
}

bool UsageExchange::addChanges(const std::string& peer, Inner::Wire::UsageTable& table)
{
    std::lock_guard lock(m_mutex);
    advanceClock();
    auto now = Common::now();
    auto& cursor = m_sent[peer];
    auto after = cursor.next(now);
    if (!after || *after >= m_ledger.revision())
        return false;
    auto changes = m_ledger.changesAfter(*after);
    cursor.recordSent(changes.upTo, now);
    table.set_after(*after);
    table.set_revision(changes.upTo);
    encodeUsage(changes.routers, table);
    return true;
}

void UsageExchange::receive(const Inner::Mesh::Sender& from, const Inner::Wire::UsageTable& table)
{
    if (!table.revision())
        return;
    auto usages = decodeUsage(table);
    std::lock_guard lock(m_mutex);
    advanceClock();
    m_ledger.merge(usages);
    m_received[from.id].advance(from.incarnation, table.after(), table.revision());
}

Routing::RosterPosition UsageExchange::received(const std::string& peer) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_received.find(peer);
    return found == m_received.end() ? Routing::RosterPosition {} : found->second;
}

void UsageExchange::acknowledge(const std::string& peer, uint64_t revision)
{
    std::lock_guard lock(m_mutex);
    m_sent[peer].acknowledge(revision);
}

void UsageExchange::forgetSent(const std::string& peer)
{
    std::lock_guard lock(m_mutex);
    auto found = m_sent.find(peer);
    if (found != m_sent.end())
        found->second.forgetSent();
}

uint64_t UsageExchange::ownTime() const
{
    std::lock_guard lock(m_mutex);
    return static_cast<uint64_t>(m_clock.ownTime(Common::now()).count());
}

uint64_t UsageExchange::agreedTime() const
{
    std::lock_guard lock(m_mutex);
    return static_cast<uint64_t>(m_clock.agreedTime(Common::now()).count());
}

void UsageExchange::recordSubscriberTime(const std::string& peer, uint64_t time)
{
    std::lock_guard lock(m_mutex);
    m_clock.recordSubscriberTime(peer, Milliseconds(time), Common::now());
}

void UsageExchange::recordHubTime(uint64_t time, Common::TimePoint requestedAt)
{
    if (!time)
        return;
    std::lock_guard lock(m_mutex);
    m_clock.recordHubTime(Milliseconds(time), requestedAt, Common::now());
}

} // namespace Brassladder::RouteServing::Gateway
