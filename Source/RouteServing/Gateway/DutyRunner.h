// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Duties/CapacityOrders.h"
#include "RouteServing/Duties/Lease.h"
#include "RouteServing/Duties/UsageReports.h"
#include "RouteServing/Gateway/PlatformSources.h"
#include "RouteServing/Gateway/UsageExchange.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Gateway {

// The engines of one service that the fleet orders.
struct ServiceCapacity {
    std::string service;
    Duties::ScalingTerms terms;
    std::vector<Duties::DomainCapacity> domains;
    Duties::EngineLoad load;
};

// Does the duties of the fleet while this router holds their lease: reports usage and orders capacity. The rules stand
// in Duties/; this class makes the calls, one at a time. Runs as one fiber.
class DutyRunner {
public:
    struct Parts {
        DutyLogSource log;
        DutyCalls calls;
        UsageExchange& usage;
        std::function<Duties::Lease::Situation()> situation;
        std::function<std::vector<ServiceCapacity>()> capacity;
    };
    struct Settings {
        Duties::LeaseTimes lease;
        Duties::UsageTimes usage;
        bool reportsUsage { true };
        bool ordersCapacity { true };
    };

    DutyRunner(Parts, Settings);

    // Runs until the process ends, as a fiber of its own.
    void run();

    // What this router knows of the duties. Safe to call from several threads.
    struct View {
        std::string holder; // Empty when nobody holds them, or that is not known.
        uint64_t token { 0 };
        uint64_t firstUnreported { 0 }; // Usage window.
        bool isOwn { false };
    };
    View view() const;

private:
    using Step = Duties::Lease::Step;

    // One step; how long to wait before the next.
    Common::Milliseconds step();
    Common::Milliseconds read(Common::TimePoint now);
    void recordChanges(const DutyLogSource::Changes&, Common::TimePoint started);
    void handleLeaseChange();
    void resolveConflict();
    // Whether the record is on the log.
    bool append(const Duties::DutyRecord&);
    void appendLease(Step);
    // The lease's token, checked again right before a call.
    std::optional<DutyCaller> caller() const;

    bool reportUsage();
    bool writeWindow(uint64_t window);
    bool sendWindow(const Duties::WindowRecord&);
    void closeWindow(uint64_t window, std::string_view how);

    bool orderCapacity();
    bool orderCapacity(const ServiceCapacity&, Common::TimePoint now);
    void observeDemand(const ServiceCapacity&, Common::TimePoint now);
    bool sendOrder(const Duties::CapacityOrder&);
    void recordConflict(std::string_view call, uint64_t token);
    void publish();

    Parts m_parts;
    Settings m_settings;
    Duties::Lease m_lease;
    Duties::UsageReports m_reports;
    std::map<std::string, Duties::CapacityOrders> m_orders; // By service, as the next.
    std::map<std::string, Duties::CapacityDemand> m_demands;
    std::optional<Duties::LeaseRecord> m_lastLoggedLease; // The newest lease that was logged.
    uint64_t m_firstUnreported { 0 }; // Usage window; goes into the lease's next record.
    uint64_t m_heldToken { 0 }; // Of the lease that this process holds; 0: none.
    unsigned m_readFailures { 0 }; // Of reads, in a row.
    unsigned m_appendFailures { 0 };
    unsigned m_usageFailures { 0 }; // Of reports, in a row.
    Common::TimePoint m_nextUsageReportAt {};
    Common::TimePoint m_nextCapacityPlanAt {};
    bool m_hasUnresolvedConflict { false }; // A call met a conflict that the log has not explained yet.
    std::optional<Duties::CapacityOrder> m_conflictingOrder;
    mutable std::mutex m_mutex; // Guards the next.
    View m_view;
};

} // namespace Brassladder::RouteServing::Gateway
