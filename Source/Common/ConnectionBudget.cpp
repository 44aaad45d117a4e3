// SPDX-License-Identifier: Apache-2.0
#include "Common/ConnectionBudget.h"

#include "Common/Metrics.h"

#include <algorithm>
#include <limits>
#include <sys/resource.h>
#include <sys/sysinfo.h>

namespace Brassladder::Common {

using namespace std::chrono_literals;

// Share of the instance's memory that connections may hold.
static constexpr size_t memoryShareNumerator = 2;
static constexpr size_t memoryShareDenominator = 5;
// Descriptors that connections never take: files, listeners, peers, the store, and closed connections whose sockets are
// not released yet.
static constexpr size_t reservedDescriptors = 400;
static constexpr size_t minConnections = 64;
// One in so many connections is reserved for essential listeners.
static constexpr size_t essentialShare = 16;
// One in so many bytes is reserved for connections that hold little.
static constexpr size_t smallShare = 8;
static constexpr size_t smallBytes = size_t { 64 } * 1024;
// One in so many connections and bytes may be evicted and not ended, which is how far the capacity is exceeded.
static constexpr size_t evictedShare = 8;
// A caller that has connected sends its request within this time, unless it does so later or slowly.
static constexpr Milliseconds minWait = 100ms;
// A response that was not read for this long may be given up in favor of others.
static constexpr Milliseconds minStall = 1000ms;

std::string_view name(ConnectionStage stage)
{
    switch (stage) {
    case ConnectionStage::New:
        return "new";
    case ConnectionStage::Head:
        return "head";
    case ConnectionStage::Body:
        return "body";
    case ConnectionStage::Idle:
        return "idle";
    case ConnectionStage::Serving:
        return "serving";
    case ConnectionStage::Sending:
        return "sending";
    case ConnectionStage::Closing:
        return "closing";
    case ConnectionStage::Trusted:
        return "trusted";
    }
    return "new";
}

static size_t memoryOfSystem()
{
    struct sysinfo info { };
    size_t bytes = sysinfo(&info) ? std::numeric_limits<size_t>::max() : info.totalram * info.mem_unit;
    for (auto resource : { RLIMIT_AS, RLIMIT_DATA }) {
        rlimit limit {};
        if (!getrlimit(resource, &limit) && limit.rlim_cur != RLIM_INFINITY)
            bytes = std::min(bytes, static_cast<size_t>(limit.rlim_cur));
    }
    return bytes;
}

static size_t descriptorsOfProcess()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) || limit.rlim_cur == RLIM_INFINITY)
        return std::numeric_limits<size_t>::max();
    return static_cast<size_t>(limit.rlim_cur);
}

ConnectionBudget::Capacity ConnectionBudget::Capacity::ofInstance(size_t memoryBytes, size_t descriptors)
{
    size_t memory = memoryBytes ? memoryBytes : memoryOfSystem();
    size_t available = descriptorsOfProcess();
    if (descriptors)
        available = std::min(available, descriptors);
    Capacity capacity;
    capacity.bytes = memory / memoryShareDenominator * memoryShareNumerator;
    capacity.connections = available > reservedDescriptors ? (available - reservedDescriptors) / 2 : 0;
    capacity.connections = std::max(capacity.connections, minConnections);
    return capacity;
}

ConnectionBudget& ConnectionBudget::unlimited()
{
    // A half, so that sums do not overflow.
    static constexpr size_t half = std::numeric_limits<size_t>::max() / 2;
    static auto& s_budget = *new ConnectionBudget({ half, half });
    return s_budget;
}

ConnectionBudget::ConnectionBudget(Capacity capacity)
    : m_capacity(capacity)
{
}

ConnectionBudget::Usage ConnectionBudget::usage() const
{
    std::lock_guard lock(m_mutex);
    return m_usage;
}

size_t ConnectionBudget::takePeakBytes()
{
    std::lock_guard lock(m_mutex);
    return std::exchange(m_peakBytes, m_usage.bytes);
}

void ConnectionBudget::exposeMetrics() const
{
    auto gauge = [](const char* name, const char* help, size_t value) {
        Metrics::gauge(name, help).Set(static_cast<double>(value));
    };
    auto current = usage();
    gauge("brassladder_connections_open", "Accepted connections of all listeners", current.connections);
    gauge("brassladder_connections_limit", "Accepted connections that the budget allows", m_capacity.connections);
    gauge("brassladder_connections_bytes", "Memory that accepted connections hold, as reserved", current.bytes);
    gauge("brassladder_connections_bytes_limit", "Memory that accepted connections may hold", m_capacity.bytes);
}

// Connections

bool ConnectionBudget::admit(Member& connection, ListenerKind kind)
{
    std::lock_guard lock(m_mutex);
    if (!makeRoomForConnection(kind) || !makeRoomForBytes(connection, connectionBytes, connectionBytes)) {
        static auto& s_refused = Metrics::counter(
            "brassladder_connections_refused_total", "New connections without room in the connection budget");
        s_refused.Increment();
        return false;
    }
    ++m_usage.connections;
    setBytes(connection, connectionBytes);
    connection.since = now();
    membersIn(connection.stage).push_back(connection);
    return true;
}

void ConnectionBudget::remove(Member& connection)
{
    std::lock_guard lock(m_mutex);
    auto& usage = connection.eviction->isEvicted ? m_evicted : m_usage;
    --usage.connections;
    usage.bytes -= connection.bytes;
    if (connection.is_linked())
        membersIn(connection.stage).erase(Members::s_iterator_to(connection));
}

bool ConnectionBudget::enter(Member& connection, ConnectionStage stage, size_t bytes)
{
    std::lock_guard lock(m_mutex);
    if (connection.eviction->isEvicted)
        return false;
    if (bytes > connection.bytes && !makeRoomForBytes(connection, bytes - connection.bytes, bytes))
        return false;
    setBytes(connection, bytes);
    if (stage == connection.stage)
        return true;
    membersIn(connection.stage).erase(Members::s_iterator_to(connection));
    connection.stage = stage;
    connection.since = now();
    membersIn(stage).push_back(connection);
    return true;
}

void ConnectionBudget::recordProgress(Member& connection)
{
    std::lock_guard lock(m_mutex);
    connection.since = now();
}

void ConnectionBudget::setBytes(Member& connection, size_t bytes)
{
    m_usage.bytes = m_usage.bytes - connection.bytes + bytes;
    m_peakBytes = std::max(m_peakBytes, m_usage.bytes);
    connection.bytes = bytes;
}

// Eviction

// The product of what the connection holds and the time without progress, in byte seconds.
double ConnectionBudget::costOf(const Member& connection, TimePoint moment)
{
    return static_cast<double>(connection.bytes) * toSeconds(moment - connection.since);
}

bool ConnectionBudget::makeRoomForConnection(ListenerKind kind)
{
    auto limit = m_capacity.connections;
    if (kind == ListenerKind::Callers)
        limit -= limit / essentialShare;
    while (m_usage.connections >= limit) {
        auto* victim = mayEvictMore() ? chooseForConnection() : nullptr;
        if (!victim)
            return false;
        evict(*victim);
    }
    return true;
}

// `total`: what the requester holds afterwards.
bool ConnectionBudget::makeRoomForBytes(const Member& requester, size_t added, size_t total)
{
    bool isLarge = total > smallBytes;
    auto limit = m_capacity.bytes - (isLarge ? m_capacity.bytes / smallShare : 0);
    while (m_usage.bytes + added > limit) {
        auto* victim = mayEvictMore() ? chooseForBytes(requester, isLarge) : nullptr;
        if (!victim)
            return false;
        evict(*victim);
    }
    return true;
}

// A place is taken from the connection that has kept it for the longest time without a result. Callers that have just
// connected need a moment to send their request, and callers that rest between requests come last.
ConnectionBudget::Member* ConnectionBudget::chooseForConnection()
{
    static constexpr std::array unserved { ConnectionStage::Closing, ConnectionStage::New, ConnectionStage::Head };
    if (auto* oldest = oldestIn(unserved, minWait))
        return oldest;
    if (auto* costliest = costliestIn(ConnectionStage::Body, nullptr, minWait))
        return costliest;
    if (auto* oldest = oldestIn(unserved, {}))
        return oldest;
    if (auto* costliest = costliestIn(ConnectionStage::Body, nullptr, {}))
        return costliest;
    if (auto* oldest = oldestIn(ConnectionStage::Idle, nullptr))
        return oldest;
    return costliestIn(ConnectionStage::Sending, nullptr, minStall);
}

// Bytes are taken from the connection with the highest cost. A connection that holds much, or wants to, takes nothing
// from callers that have just connected or rest between requests.
ConnectionBudget::Member* ConnectionBudget::chooseForBytes(const Member& requester, bool isLarge)
{
    auto moment = now();
    Member* chosen = nullptr;
    double highestCost = requester.stage == ConnectionStage::Body ? costOf(requester, moment) : -1;
    auto consider = [&](Member* candidate, Duration minTime) {
        if (!candidate || moment - candidate->since < minTime || costOf(*candidate, moment) <= highestCost)
            return;
        chosen = candidate;
        highestCost = costOf(*candidate, moment);
    };
    for (auto stage : { ConnectionStage::Closing, ConnectionStage::New, ConnectionStage::Head })
        consider(oldestIn(stage, &requester), isLarge ? minStall : Milliseconds(0));
    consider(costliestIn(ConnectionStage::Body, &requester, {}), {});
    consider(costliestIn(ConnectionStage::Sending, &requester, minStall), {});
    if (!chosen && !isLarge)
        chosen = oldestIn(ConnectionStage::Idle, &requester);
    return chosen;
}

ConnectionBudget::Member* ConnectionBudget::oldestIn(ConnectionStage stage, const Member* except)
{
    auto& members = membersIn(stage);
    auto oldest = members.begin();
    if (oldest != members.end() && &*oldest == except)
        ++oldest;
    return oldest == members.end() ? nullptr : &*oldest;
}

ConnectionBudget::Member* ConnectionBudget::oldestIn(std::span<const ConnectionStage> stages, Duration minTime)
{
    auto entered = now() - minTime;
    Member* oldest = nullptr;
    for (auto stage : stages) {
        auto* candidate = oldestIn(stage, nullptr);
        if (!candidate || candidate->since > entered)
            continue;
        oldest = candidate;
        entered = candidate->since;
    }
    return oldest;
}

ConnectionBudget::Member* ConnectionBudget::costliestIn(ConnectionStage stage, const Member* except, Duration minTime)
{
    auto moment = now();
    Member* costliest = nullptr;
    double highestCost = -1;
    for (auto& connection : membersIn(stage)) {
        auto cost = costOf(connection, moment);
        if (&connection == except || moment - connection.since < minTime || cost <= highestCost)
            continue;
        costliest = &connection;
        highestCost = cost;
    }
    return costliest;
}

bool ConnectionBudget::mayEvictMore() const
{
    return m_evicted.connections <= m_capacity.connections / evictedShare
        && m_evicted.bytes <= m_capacity.bytes / evictedShare;
}

static prometheus::Counter& evictionCounter(ConnectionStage stage)
{
    return Metrics::counter("brassladder_connections_evicted_total",
        "Connections closed because others needed their share of the connection budget",
        { { "stage", std::string(name(stage)) } });
}

void ConnectionBudget::evict(Member& connection)
{
    connection.eviction->isEvicted = true;
    membersIn(connection.stage).erase(Members::s_iterator_to(connection));
    --m_usage.connections;
    m_usage.bytes -= connection.bytes;
    ++m_evicted.connections;
    m_evicted.bytes += connection.bytes;
    evictionCounter(connection.stage).Increment();
    boost::asio::post(connection.executor, [eviction = connection.eviction] {
        if (auto interrupt = std::exchange(eviction->interrupt, nullptr))
            interrupt();
    });
}

// BudgetedConnection

BudgetedConnection::BudgetedConnection(
    ConnectionBudget& budget, ListenerKind kind, boost::asio::any_io_executor executor, std::function<void()> interrupt)
    : m_budget(budget)
{
    m_member.executor = std::move(executor);
    m_member.eviction->interrupt = std::move(interrupt);
    m_isAdmitted = m_budget.admit(m_member, kind);
}

BudgetedConnection::~BudgetedConnection()
{
    m_member.eviction->interrupt = nullptr;
    if (m_isAdmitted)
        m_budget.remove(m_member);
}

bool BudgetedConnection::enter(ConnectionStage stage, size_t bytes) { return m_budget.enter(m_member, stage, bytes); }

void BudgetedConnection::recordProgress() { m_budget.recordProgress(m_member); }

} // namespace Brassladder::Common
