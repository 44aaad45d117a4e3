// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/SuspectExchange.h"

#include "RouteServing/Gateway/SuspectCodec.h"

namespace Brassladder::RouteServing::Gateway {

bool SuspectExchange::addChanges(
    const std::string& peer, Routing::SuspectLedger::Scope scope, Inner::Wire::SuspectTable& table)
{
    auto now = Common::now();
    std::lock_guard lock(m_mutex);
    auto& cursor = m_sent[peer];
    auto after = cursor.next(now);
    if (!after || *after >= m_ledger.revision())
        return false;
    auto changes = m_ledger.changesAfter(*after, scope);
    if (changes.records.empty())
        return false;
    cursor.recordSent(changes.upTo, now);
    table.set_after(*after);
    table.set_revision(changes.upTo);
    encodeSuspects(changes.records, table, now);
    return true;
}

void SuspectExchange::merge(const Inner::Mesh::Sender& from, const Inner::Wire::SuspectTable& table)
{
    auto now = Common::now();
    for (const auto& record : decodeSuspects(table, now))
        m_ledger.merge(record, now);
    std::lock_guard lock(m_mutex);
    m_received[from.id].advance(from.incarnation, table.after(), table.revision());
}

// An acknowledgement of changes from an earlier process of this router does not apply to this process.
void SuspectExchange::acknowledge(const std::string& peer, uint64_t incarnation, uint64_t revision)
{
    std::lock_guard lock(m_mutex);
    auto cursor = m_sent.find(peer);
    if (cursor != m_sent.end())
        cursor->second.acknowledge(incarnation == m_incarnation ? revision : 0);
}

void SuspectExchange::forgetSent(const std::string& peer)
{
    std::lock_guard lock(m_mutex);
    auto cursor = m_sent.find(peer);
    if (cursor != m_sent.end())
        cursor->second.forgetSent();
}

Routing::RosterPosition SuspectExchange::received(const std::string& peer) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_received.find(peer);
    return found == m_received.end() ? Routing::RosterPosition {} : found->second;
}

} // namespace Brassladder::RouteServing::Gateway
