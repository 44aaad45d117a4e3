// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/SlotExchange.h"

#include "RouteServing/Gateway/GatewayMetrics.h"

#include <algorithm>
#include <array>
#include <limits>

namespace Brassladder::RouteServing::Gateway {

using Common::Milliseconds;
using Common::TimePoint;
using Inner::Wire::Item;
using Routing::SlotCoordinator;
using Routing::SlotRelease;
using Routing::SlotRequestId;
using Verdict = Routing::SlotCoordinator::Verdict;
using namespace std::chrono_literals;

// A coordinator answers within a round trip. Covers the pauses of a process whose processor share is a tenth of a core.
static constexpr Milliseconds answerTimeout = 150ms;
// Routers that are asked, one after the other, while the one before does not answer.
static constexpr size_t maxCoordinatorsAsked = 3;
// Two intervals of the exchange between routers, after which the load that they report includes most requests.
static constexpr Milliseconds settleTime = 200ms;
// Four intervals of the exchange between hubs. A router that is silent for longer has mostly ended or is paused.
static constexpr Milliseconds contactTimeout = 400ms;
// A longer gap between two steps means that the process was paused.
static constexpr Milliseconds maxStepGap = 500ms;
// How long after the first statement of an upstream its coordinator has no predecessor.
static constexpr Milliseconds beginOfFragileTime = 1000ms;
// Retry time of a request for which no coordinator was found.
static constexpr Milliseconds retryWithoutCoordinator = 500ms;

SlotReservation::~SlotReservation()
{
    if (m_exchange)
        m_exchange->release(m_sequence, m_release);
}

SlotExchange::SlotExchange(std::string self)
    : m_self(std::move(self))
{
    std::array<Routing::SlotCoordinatorRanking::Router, 1> alone { { { m_self } } };
    m_ranking.setRouters(alone);
}

void SlotExchange::setRouters(std::span<const Routing::SlotCoordinatorRanking::Router> routers)
{
    std::lock_guard lock(m_mutex);
    m_ranking.setRouters(routers);
}

void SlotExchange::send(Outbox& outbox) const
{
    for (auto& [router, item] : outbox)
        m_send(router, std::move(item));
}

bool SlotExchange::isUsable(const std::string& router, TimePoint now) const
{
    auto backoff = m_backoffs.find(router);
    return backoff == m_backoffs.end() || !backoff->second.isIgnored(now);
}

static uint32_t remainingMs(TimePoint until, TimePoint now)
{
    return static_cast<uint32_t>(
        std::clamp<int64_t>(Common::toMilliseconds(until - now).count(), 0, std::numeric_limits<uint32_t>::max()));
}

// Requests

uint64_t SlotExchange::begin(const Order& order, TimePoint now)
{
    Outbox outbox;
    uint64_t sequence = 0;
    {
        std::lock_guard lock(m_mutex);
        sequence = ++m_lastSequence;
        auto& pending = m_pending[sequence];
        pending.order = order;
        pending.changed = std::make_shared<boost::fibers::condition_variable_any>();
        ask(sequence, pending, outbox, now);
    }
    send(outbox);
    return sequence;
}

void SlotExchange::setState(Pending& pending, State state)
{
    pending.state = state;
    pending.changed->notify_all();
}

void SlotExchange::ask(uint64_t sequence, Pending& pending, Outbox& outbox, TimePoint now)
{
    pending.coordinator
        = m_ranking.coordinatorOf(pending.order.upstream, [&](const auto& router) { return isUsable(router, now); });
    if (pending.coordinator.empty() || pending.coordinatorsAsked == maxCoordinatorsAsked) {
        pending.retryAfter = retryWithoutCoordinator;
        return setState(pending, State::Denied);
    }
    ++pending.coordinatorsAsked;
    setState(pending, State::Unanswered);
    pending.answerDue = now + answerTimeout;
    Item item;
    auto& request = *item.mutable_slot_request();
    request.set_upstream(pending.order.upstream);
    request.set_sequence(sequence);
    request.set_rank(static_cast<uint32_t>(pending.order.rank));
    request.set_slots(pending.order.slots);
    request.set_wait_ms(remainingMs(pending.order.waitUntil, now));
    request.set_run_ms(remainingMs(pending.order.runUntil, now));
    if (pending.order.fragileSince)
        request.set_fragile_ms(remainingMs(now, *pending.order.fragileSince));
    if (pending.coordinator == m_self)
        return coordinate(m_self, m_incarnation, request, outbox, now);
    outbox.emplace_back(pending.coordinator, std::move(item));
}

void SlotExchange::askNext(uint64_t sequence, Pending& pending, Outbox& outbox, TimePoint now)
{
    m_backoffs[pending.coordinator].recordTimeout(now);
    GatewayMetrics::slotRequestEnded(GatewayMetrics::SlotRequestEnd::Unanswered);
    withdraw(sequence, pending, {}, outbox, now);
    ask(sequence, pending, outbox, now);
}

SlotExchange::Progress SlotExchange::advance(uint64_t sequence, TimePoint now)
{
    Outbox outbox;
    Progress progress;
    {
        std::lock_guard lock(m_mutex);
        auto found = m_pending.find(sequence);
        if (found == m_pending.end())
            return { Outcome(Denial { retryWithoutCoordinator }), now };
        auto& pending = found->second;
        if (pending.state == State::Unanswered && now >= pending.answerDue)
            askNext(sequence, pending, outbox, now);
        // The coordinator has ended the reservation.
        if (pending.state == State::Granted && now >= pending.order.runUntil)
            pending.state = State::Denied;
        if (pending.state == State::Queued && now >= pending.order.waitUntil) {
            withdraw(sequence, pending, {}, outbox, now);
            pending.state = State::Denied;
        }
        // The request may be queued meanwhile, and its wait may end before the answer is overdue.
        bool mayWait = now < pending.order.waitUntil;
        progress.next = mayWait ? pending.order.waitUntil : pending.answerDue;
        if (pending.state == State::Unanswered)
            progress.next = std::min(progress.next, pending.answerDue);
        if (pending.state == State::Granted) {
            progress.outcome.emplace(SlotReservation(*this, sequence));
        } else if (pending.state == State::Denied) {
            progress.outcome.emplace(Denial { pending.retryAfter });
            m_pending.erase(found);
        }
    }
    send(outbox);
    return progress;
}

SlotExchange::Outcome SlotExchange::reserve(const Order& order)
{
    auto sequence = begin(order, Common::now());
    while (true) {
        auto progress = advance(sequence, Common::now());
        if (progress.outcome) {
            bool isGranted = std::holds_alternative<SlotReservation>(*progress.outcome);
            GatewayMetrics::slotRequestEnded(
                isGranted ? GatewayMetrics::SlotRequestEnd::Granted : GatewayMetrics::SlotRequestEnd::Denied);
            return std::move(*progress.outcome);
        }
        awaitChange(sequence, progress.next);
    }
}

void SlotExchange::awaitChange(uint64_t sequence, TimePoint until)
{
    std::unique_lock lock(m_mutex);
    auto found = m_pending.find(sequence);
    if (found == m_pending.end())
        return;
    const auto& pending = found->second;
    auto changed = pending.changed;
    changed->wait_until(lock, until, [&] { return pending.state == State::Granted || pending.state == State::Denied; });
}

void SlotExchange::withdraw(
    uint64_t sequence, const Pending& pending, const SlotRelease& release, Outbox& outbox, TimePoint now)
{
    Item item;
    auto& message = *item.mutable_slot_release();
    message.set_upstream(pending.order.upstream);
    message.set_sequence(sequence);
    message.set_was_rejected(release.wasRejected);
    message.set_busy_ms(static_cast<uint32_t>(release.busyFor.count()));
    if (pending.coordinator == m_self)
        return endReservation(m_self, m_incarnation, message, outbox, now);
    outbox.emplace_back(pending.coordinator, std::move(item));
}

void SlotExchange::release(uint64_t sequence, const SlotRelease& release)
{
    Outbox outbox;
    {
        std::lock_guard lock(m_mutex);
        auto pending = m_pending.extract(sequence);
        if (pending)
            withdraw(sequence, pending.mapped(), release, outbox, m_clock());
    }
    send(outbox);
}

void SlotExchange::recordUnreachable(const std::string& router, TimePoint now)
{
    Outbox outbox;
    {
        std::lock_guard lock(m_mutex);
        m_contacts.erase(router);
        for (auto& [upstream, coordinator] : m_coordinators)
            coordinator.forgetRouter(router, now);
        for (auto& [sequence, pending] : m_pending) {
            bool isWaiting = pending.state == State::Unanswered || pending.state == State::Queued;
            if (pending.coordinator != router || !isWaiting)
                continue;
            m_backoffs[router].recordTimeout(now);
            ask(sequence, pending, outbox, now);
        }
    }
    send(outbox);
}

// Coordination

std::string SlotExchange::coordinatorOf(uint32_t upstream, TimePoint now) const
{
    return m_ranking.coordinatorOf(upstream, [&](const auto& router) {
        auto contact = m_contacts.find(router);
        return router == m_self || (contact != m_contacts.end() && now - contact->second < contactTimeout);
    });
}

void SlotExchange::recordContact(const std::string& router, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_contacts[router] = now;
}

// A coordinator that is new, or whose process was paused, may follow another one that has granted slots until now. At
// the begin of a fragile time there was none.
SlotCoordinator& SlotExchange::coordinatorFor(uint32_t upstream, Milliseconds fragileFor, TimePoint now)
{
    auto [found, isNew] = m_coordinators.try_emplace(upstream);
    auto since = m_view.fragileSince ? m_view.fragileSince(upstream) : std::nullopt;
    auto knownFor = std::max(fragileFor, since ? Common::toMilliseconds(now - *since) : 0ms);
    bool wasPaused = m_lastStep && now - *m_lastStep > maxStepGap;
    if ((isNew && knownFor >= beginOfFragileTime) || wasPaused)
        found->second.settleUntil(now + settleTime);
    return found->second;
}

void SlotExchange::coordinate(const std::string& router, uint64_t incarnation, const Inner::Wire::SlotRequest& message,
    Outbox& outbox, TimePoint now)
{
    SlotRequestId id { router, incarnation, message.sequence() };
    if (auto first = coordinatorOf(message.upstream(), now); first != m_self) {
        Inner::Wire::SlotReply redirect;
        redirect.set_upstream(message.upstream());
        redirect.set_verdict(Inner::Wire::SlotReply::NOT_COORDINATOR);
        redirect.set_coordinator(first);
        return send(id, std::move(redirect), outbox, now);
    }
    auto& coordinator = coordinatorFor(message.upstream(), Milliseconds(message.fragile_ms()), now);
    auto decision = coordinator.request({ id, message.rank(), message.slots(), now + Milliseconds(message.wait_ms()),
                                            now + Milliseconds(message.run_ms()) },
        now);
    reply(message.upstream(), id, decision, outbox, now);
    grantWaiting(message.upstream(), coordinator, outbox, now);
}

void SlotExchange::endReservation(const std::string& router, uint64_t incarnation,
    const Inner::Wire::SlotRelease& message, Outbox& outbox, TimePoint now)
{
    auto found = m_coordinators.find(message.upstream());
    if (found == m_coordinators.end())
        return;
    found->second.release(
        { router, incarnation, message.sequence() }, { message.was_rejected(), Milliseconds(message.busy_ms()) }, now);
    grantWaiting(message.upstream(), found->second, outbox, now);
}

void SlotExchange::grantWaiting(uint32_t upstream, SlotCoordinator& coordinator, Outbox& outbox, TimePoint now)
{
    for (const auto& id : coordinator.grantWaiting(now))
        reply(upstream, id, { Verdict::Granted }, outbox, now);
}

static Inner::Wire::SlotReply::Verdict encode(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Granted:
        return Inner::Wire::SlotReply::GRANTED;
    case Verdict::Queued:
        return Inner::Wire::SlotReply::QUEUED;
    case Verdict::Denied:
        return Inner::Wire::SlotReply::DENIED;
    }
    return Inner::Wire::SlotReply::DENIED;
}

void SlotExchange::send(const SlotRequestId& id, Inner::Wire::SlotReply message, Outbox& outbox, TimePoint now)
{
    message.set_sequence(id.sequence);
    message.set_incarnation(id.incarnation);
    if (id.router == m_self)
        return receiveReply(m_self, message, outbox, now);
    Item item;
    *item.mutable_slot_reply() = std::move(message);
    outbox.emplace_back(id.router, std::move(item));
}

void SlotExchange::reply(uint32_t upstream, const SlotRequestId& id, const SlotCoordinator::Decision& decision,
    Outbox& outbox, TimePoint now)
{
    Inner::Wire::SlotReply message;
    message.set_upstream(upstream);
    message.set_verdict(encode(decision.verdict));
    message.set_retry_after_ms(static_cast<uint32_t>(decision.retryAfter.count()));
    send(id, std::move(message), outbox, now);
}

// A late grant, of a request that has ended or has asked another coordinator meanwhile, is given back. Otherwise its
// slot would stay unused until the deadline of the request.
static Item returnedGrant(const Inner::Wire::SlotReply& message)
{
    Item item;
    item.mutable_slot_release()->set_upstream(message.upstream());
    item.mutable_slot_release()->set_sequence(message.sequence());
    return item;
}

void SlotExchange::receiveReply(
    const std::string& sender, const Inner::Wire::SlotReply& message, Outbox& outbox, TimePoint now)
{
    if (message.incarnation() != m_incarnation)
        return;
    auto found = m_pending.find(message.sequence());
    bool isExpected = found != m_pending.end() && found->second.coordinator == sender;
    if (!isExpected) {
        if (message.verdict() == Inner::Wire::SlotReply::GRANTED && sender != m_self)
            outbox.emplace_back(sender, returnedGrant(message));
        return;
    }
    auto& pending = found->second;
    if (pending.state != State::Unanswered && pending.state != State::Queued)
        return;
    pending.retryAfter = Milliseconds(message.retry_after_ms());
    switch (message.verdict()) {
    case Inner::Wire::SlotReply::GRANTED:
        return setState(pending, State::Granted);
    case Inner::Wire::SlotReply::QUEUED:
        return setState(pending, State::Queued);
    case Inner::Wire::SlotReply::NOT_COORDINATOR:
        m_backoffs.erase(message.coordinator());
        return ask(message.sequence(), pending, outbox, now);
    default:
        return setState(pending, State::Denied);
    }
}

void SlotExchange::recordIncarnation(const std::string& router, uint64_t incarnation, TimePoint now)
{
    auto [known, isNew] = m_incarnations.try_emplace(router, incarnation);
    if (isNew || known->second == incarnation)
        return;
    known->second = incarnation;
    for (auto& [upstream, coordinator] : m_coordinators)
        coordinator.forgetRouter(router, now);
}

void SlotExchange::receive(const Inner::Mesh::Sender& sender, const Item& item, TimePoint now)
{
    bool isOfExchange = item.has_slot_request() || item.has_slot_reply() || item.has_slot_release();
    if (!isOfExchange)
        return;
    Outbox outbox;
    {
        std::lock_guard lock(m_mutex);
        m_backoffs.erase(sender.id);
        recordIncarnation(sender.id, sender.incarnation, now);
        if (item.has_slot_request())
            coordinate(sender.id, sender.incarnation, item.slot_request(), outbox, now);
        else if (item.has_slot_release())
            endReservation(sender.id, sender.incarnation, item.slot_release(), outbox, now);
        else
            receiveReply(sender.id, item.slot_reply(), outbox, now);
    }
    send(outbox);
}

void SlotExchange::step(const FleetView& view, TimePoint now)
{
    Outbox outbox;
    {
        std::lock_guard lock(m_mutex);
        bool wasPaused = m_lastStep && now - *m_lastStep > maxStepGap;
        m_view = view;
        m_lastStep = now;
        std::erase_if(m_coordinators, [&](const auto& each) { return each.second.isIdle(now); });
        for (auto& [upstream, coordinator] : m_coordinators) {
            if (wasPaused)
                coordinator.settleUntil(now + settleTime);
            coordinator.setReportedLoad(view.reportedLoad(upstream));
            coordinator.setReachableShare(view.reachableShare);
            grantWaiting(upstream, coordinator, outbox, now);
        }
    }
    send(outbox);
}

SlotExchange::Summary SlotExchange::summary() const
{
    std::lock_guard lock(m_mutex);
    Summary summary { m_coordinators.size() };
    for (const auto& [upstream, coordinator] : m_coordinators) {
        summary.reserved += coordinator.reserved();
        summary.waiting += coordinator.waiting();
    }
    return summary;
}

} // namespace Brassladder::RouteServing::Gateway
