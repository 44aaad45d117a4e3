// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/DutyRunner.h"

#include "Common/Digest.h"
#include "Common/FiberRuntime.h"
#include "Common/Log.h"
#include "RouteServing/Gateway/DutyMetrics.h"
#include "RouteServing/Routing/RefreshIntervals.h"

namespace Brassladder::RouteServing::Gateway {

using Common::LogLevel;
using Common::Milliseconds;
using Common::TimePoint;
using Duties::CapacityOrders;
using namespace std::chrono_literals;

// Pause between two checks for due work. Equals the exchange interval of PeerExchange.
static constexpr Milliseconds checkInterval = 100ms;
// Interval between two capacity plans.
// An engine takes seconds to boot.
static constexpr Milliseconds planInterval = 500ms;
// Upper bound for a long poll of the log.
static constexpr Milliseconds maxReadWait = 10'000ms;
// Backoff after failed calls: doubles from the initial value up to the maximum.
static constexpr Milliseconds initialBackoff = 200ms;
static constexpr Milliseconds maxBackoff = 1000ms;

DutyRunner::DutyRunner(Parts parts, Settings settings)
    : m_parts(std::move(parts))
    , m_settings(settings)
    , m_lease(settings.lease, m_parts.usage.self().id, m_parts.usage.self().incarnation, Common::now())
    , m_reports(settings.usage)
{
}

void DutyRunner::run()
{
    while (true) {
        auto pause = step();
        publish();
        if (pause.count() > 0)
            Common::sleepFor(pause);
    }
}

static Milliseconds backoffAfter(unsigned failures)
{
    return Routing::jittered(
        Routing::exponentialBackoff(initialBackoff, maxBackoff, failures), Common::randomUnitFraction());
}

Milliseconds DutyRunner::step()
{
    auto now = Common::now();
    auto next = m_lease.nextStep(m_parts.situation(), now);
    switch (next) {
    case Step::Read:
        return read(now);
    case Step::Claim:
    case Step::Renew:
    case Step::Release:
        appendLease(next);
        return 0ms;
    case Step::Wait:
        break;
    }
    bool hasActed = m_heldToken && (reportUsage() || orderCapacity());
    return hasActed ? 0ms : checkInterval;
}

// The log

Milliseconds DutyRunner::read(TimePoint now)
{
    auto changes = m_parts.log.read(std::min(m_lease.readWait(now), maxReadWait));
    if (isError(changes)) {
        if (!m_readFailures++)
            Common::log(
                LogLevel::Warning, "gateway", "duties.log_unavailable", { { "error", errorOf(changes).message } });
        return backoffAfter(m_readFailures);
    }
    m_readFailures = 0;
    recordChanges(valueOf(changes), now);
    return 0ms;
}

void DutyRunner::recordChanges(const DutyLogSource::Changes& changes, TimePoint started)
{
    m_lease.recordRead(changes.records, changes.end, started, Common::now());
    for (const auto& logged : changes.records) {
        if (logged.record && std::holds_alternative<Duties::WindowRecord>(*logged.record))
            m_reports.recordWritten(std::get<Duties::WindowRecord>(*logged.record));
    }
    if (m_lease.newest())
        m_firstUnreported = std::max(m_firstUnreported, m_lease.newest()->firstUnreported);
    handleLeaseChange();
    resolveConflict();
}

// Logs and counts a change of the lease holder. Clears the capacity state when this router no longer holds the lease.
void DutyRunner::handleLeaseChange()
{
    const auto& newest = m_lease.newest();
    if (newest == m_lastLoggedLease || !newest)
        return;
    bool holderHasChanged = !m_lastLoggedLease || m_lastLoggedLease->token != newest->token
        || m_lastLoggedLease->isReleased != newest->isReleased;
    m_lastLoggedLease = newest;
    if (!holderHasChanged)
        return;
    bool wasHeld = m_heldToken;
    m_heldToken = m_lease.isHolder() ? newest->token : 0;
    Common::log(LogLevel::Info, "gateway", "duties.holder",
        { { "holder", newest->holder }, { "token", newest->token }, { "released", newest->isReleased },
            { "own", m_heldToken != 0 }, { "first_unreported", newest->firstUnreported } });
    if (m_heldToken && !wasHeld)
        DutyMetrics::leaseChanged(DutyMetrics::LeaseChange::Claimed);
    if (m_heldToken || !wasHeld)
        return;
    m_orders.clear();
    m_demands.clear();
    m_loggedNeeds.clear();
    bool wasReleased = newest->isReleased && newest->holder == m_parts.usage.self().id;
    DutyMetrics::leaseChanged(wasReleased ? DutyMetrics::LeaseChange::Released : DutyMetrics::LeaseChange::Lost);
}

// Determines why the platform refused a call with Conflict, once the log has been read again. A later token in the log
// explains it: another router holds the lease, or held it. Otherwise, a capacity order was refused because the domain
// has no engines of this kind now, and a usage report because the platform has seen a token that the log does not show.
DutyMetrics::ConflictCause DutyRunner::causeOf(const Conflict& conflict) const
{
    if (!m_lease.isHolder() || m_lease.newest()->token > conflict.token)
        return DutyMetrics::ConflictCause::LaterToken;
    return conflict.order ? DutyMetrics::ConflictCause::NoCapacity : DutyMetrics::ConflictCause::UnknownToken;
}

void DutyRunner::logConflict(const Conflict& conflict, DutyMetrics::ConflictCause cause) const
{
    Common::Json fields { { "call", conflict.order ? "capacity" : "usage" }, { "token", conflict.token },
        { "cause", DutyMetrics::label(cause) } };
    if (const auto& newest = m_lease.newest()) {
        fields["holder"] = newest->holder;
        fields["newest_token"] = newest->token;
    }
    if (const auto& order = conflict.order) {
        fields["service"] = order->service;
        fields["failure_domain"] = order->domain;
        fields["spot"] = order->kind == Duties::EngineKind::Spot;
        fields["desired"] = order->desired;
        if (cause == DutyMetrics::ConflictCause::NoCapacity)
            fields["retry_ms"] = m_orders.at(order->service).retryDelay(*order, Common::now()).count();
    }
    Common::log(LogLevel::Info, "gateway", "duties.conflict", std::move(fields));
}

void DutyRunner::resolveConflict()
{
    auto conflict = std::exchange(m_unresolvedConflict, std::nullopt);
    if (!conflict)
        return;
    auto cause = causeOf(*conflict);
    auto now = Common::now();
    switch (cause) {
    case DutyMetrics::ConflictCause::LaterToken:
        break;
    case DutyMetrics::ConflictCause::NoCapacity:
        m_orders.at(conflict->order->service)
            .record(*conflict->order, conflict->token, CapacityOrders::Outcome::NoCapacity, now);
        break;
    case DutyMetrics::ConflictCause::UnknownToken:
        m_lease.requireNewToken();
        break;
    }
    DutyMetrics::conflictResolved(conflict->order ? "capacity" : "usage", cause);
    logConflict(*conflict, cause);
}

bool DutyRunner::append(const Duties::DutyRecord& record)
{
    m_lease.recordSent(Common::now());
    auto appended = m_parts.log.append(record, m_lease.end());
    if (!isError(appended) && valueOf(appended)) {
        m_appendFailures = 0;
        m_lease.recordAppended(record);
        handleLeaseChange();
        return true;
    }
    m_lease.recordAppendUncertain();
    // Backs off here, because the next step reads the log, and a successful read does not back off.
    if (isError(appended))
        Common::sleepFor(backoffAfter(++m_appendFailures));
    return false;
}

void DutyRunner::appendLease(Step step)
{
    m_lease.setFirstUnreported(m_firstUnreported);
    append(m_lease.recordFor(step));
}

std::optional<DutyCaller> DutyRunner::caller() const
{
    auto token = m_lease.token(Common::now());
    return token ? std::optional(DutyCaller { m_parts.usage.self().id, *token }) : std::nullopt;
}

// The conflict is resolved after the next read of the log.
void DutyRunner::recordConflict(Conflict conflict)
{
    m_unresolvedConflict = std::move(conflict);
    m_lease.recordAppendUncertain();
}

// Usage

bool DutyRunner::reportUsage()
{
    using UsageStep = Duties::UsageReports::Step;
    if (!m_settings.reportsUsage || Common::now() < m_nextUsageReportAt)
        return false;
    auto [next, window] = m_parts.usage.inspect([&](const auto& ledger, Milliseconds wall) {
        auto first = Duties::UsageReports::firstReportableWindow(m_settings.usage.windowAt(wall));
        auto windowToReport = std::max(m_firstUnreported, first);
        return std::pair(m_reports.next(windowToReport, ledger, wall), windowToReport);
    });
    switch (next) {
    case UsageStep::Wait:
        return false;
    case UsageStep::GiveUp:
        closeWindow(window, "unknown");
        return true;
    case UsageStep::Append:
        return appendWindow(window);
    case UsageStep::Send:
        return sendWindow(*m_reports.written(window));
    }
    return false;
}

void DutyRunner::closeWindow(uint64_t window, std::string_view outcome)
{
    m_firstUnreported = window + 1;
    DutyMetrics::usageWindowClosed(outcome);
    if (outcome != "accepted")
        Common::log(LogLevel::Warning, "gateway", "usage.not_reported", { { "window", window }, { "why", outcome } });
}

bool DutyRunner::appendWindow(uint64_t window)
{
    auto dutyCaller = caller();
    if (!dutyCaller)
        return false;
    Duties::WindowRecord record { dutyCaller->token, window, {} };
    auto unfinishedProcesses = m_parts.usage.inspect([&](const auto& ledger, Milliseconds) {
        record.counts = ledger.total(window);
        return ledger.unfinishedProcesses(window);
    });
    if (!append(record))
        return true;
    m_reports.recordWritten(record);
    uint64_t total = 0;
    for (const auto& [workspace, count] : record.counts)
        total += count;
    Common::log(LogLevel::Info, "gateway", "usage.written",
        { { "window", window }, { "total", total }, { "token", dutyCaller->token },
            { "missing_routers", unfinishedProcesses } });
    return true;
}

bool DutyRunner::sendWindow(const Duties::WindowRecord& record)
{
    auto dutyCaller = caller();
    if (!dutyCaller)
        return false;
    auto outcome = m_parts.calls.reportUsage(*dutyCaller, record);
    DutyMetrics::callEnded("usage", outcome);
    switch (outcome) {
    case DutyCallOutcome::Accepted:
        Common::log(LogLevel::Info, "gateway", "usage.reported",
            { { "window", record.window }, { "token", dutyCaller->token } });
        m_usageFailures = 0;
        closeWindow(record.window, "accepted");
        return true;
    case DutyCallOutcome::Rejected:
        closeWindow(record.window, "rejected");
        return true;
    case DutyCallOutcome::Conflict:
        recordConflict({ dutyCaller->token, std::nullopt });
        return true;
    case DutyCallOutcome::Busy:
    case DutyCallOutcome::NoResponse:
        break;
    }
    m_nextUsageReportAt = Common::now() + backoffAfter(++m_usageFailures);
    return true;
}

// Capacity

bool DutyRunner::orderCapacity()
{
    auto now = Common::now();
    if (!m_settings.ordersCapacity || now < m_nextCapacityPlanAt)
        return false;
    m_nextCapacityPlanAt = now + planInterval;
    for (const auto& service : m_parts.capacity()) {
        observeDemand(service, now);
        // Plans again without a pause, because further orders may be due.
        if (orderCapacity(service, now))
            m_nextCapacityPlanAt = now;
    }
    return m_nextCapacityPlanAt == now;
}

void DutyRunner::observeDemand(const ServiceCapacity& service, TimePoint now)
{
    unsigned servingEngines = 0;
    for (const auto& domain : service.domains)
        servingEngines += domain.onDemand + domain.spot;
    auto& demand = m_demands.try_emplace(service.service, service.terms.spotPrice).first->second;
    demand.observe(service.load, servingEngines, now);
    DutyMetrics::engineCounts(service.service, servingEngines, demand.need(now));
}

bool DutyRunner::orderCapacity(const ServiceCapacity& service, TimePoint now)
{
    auto need = m_demands.at(service.service).need(now);
    if (!need)
        return false;
    auto& orders = m_orders.try_emplace(service.service, service.terms.boot).first->second;
    auto domains = service.domains;
    orders.setOrderedNumbers(service.service, domains, now);
    Duties::CapacityPlan plan(service.terms);
    auto targets = plan.targets(domains, *need);
    auto parts = Duties::CapacityPlan::partsOf(targets, *need, m_demands.at(service.service).required());
    DutyMetrics::needParts(service.service, parts);
    auto next = orders.next(plan.orders(service.service, domains, targets), m_heldToken, now);
    if (!next)
        return false;
    if (next->needsNewToken) {
        m_lease.requireNewToken();
        return true;
    }
    logNeed(service.service, *need, parts);
    return sendOrder(next->order);
}

// Logs what an order follows from, unless the need is the one of the last order.
void DutyRunner::logNeed(
    const std::string& service, const Duties::CapacityNeed& need, const Duties::CapacityParts& parts)
{
    auto [last, isFirst] = m_loggedNeeds.try_emplace(service, need);
    if (!isFirst && last->second == need)
        return;
    last->second = need;
    Common::log(LogLevel::Info, "gateway", "capacity.need",
        { { "service", service }, { "wanted", parts.wanted }, { "prefill", parts.prefill }, { "decode", parts.decode },
            { "headroom", parts.headroom }, { "reserve", parts.reserve }, { "sustained", need.sustained },
            { "with_headroom", need.withHeadroom } });
}

static CapacityOrders::Outcome orderOutcome(DutyCallOutcome outcome)
{
    switch (outcome) {
    case DutyCallOutcome::Accepted:
        return CapacityOrders::Outcome::Accepted;
    case DutyCallOutcome::NoResponse:
        return CapacityOrders::Outcome::NoResponse;
    default:
        return CapacityOrders::Outcome::NotPerformed;
    }
}

bool DutyRunner::sendOrder(const Duties::CapacityOrder& order)
{
    auto dutyCaller = caller();
    if (!dutyCaller)
        return false;
    auto outcome = m_parts.calls.orderCapacity(*dutyCaller, order);
    DutyMetrics::callEnded("capacity", outcome);
    Common::log(LogLevel::Info, "gateway", "capacity.ordered",
        { { "service", order.service }, { "failure_domain", order.domain },
            { "spot", order.kind == Duties::EngineKind::Spot }, { "desired", order.desired },
            { "token", dutyCaller->token }, { "outcome", DutyMetrics::label(outcome) } });
    if (outcome == DutyCallOutcome::Conflict) {
        recordConflict({ dutyCaller->token, order });
        return true;
    }
    m_orders.at(order.service).record(order, dutyCaller->token, orderOutcome(outcome), Common::now());
    return true;
}

// State for other threads

void DutyRunner::publish()
{
    View view;
    if (const auto& newest = m_lease.newest(); newest && !newest->isReleased) {
        view.holder = newest->holder;
        view.token = newest->token;
    }
    view.firstUnreported = m_firstUnreported;
    view.isOwn = m_lease.isHolder();
    std::lock_guard lock(m_mutex);
    m_view = std::move(view);
}

DutyRunner::View DutyRunner::view() const
{
    std::lock_guard lock(m_mutex);
    return m_view;
}

} // namespace Brassladder::RouteServing::Gateway
