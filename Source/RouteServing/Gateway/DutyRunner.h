// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Duties/CapacityOrders.h"
#include "RouteServing/Duties/Lease.h"
#include "RouteServing/Duties/UsageReports.h"
#include "RouteServing/Gateway/DutyMetrics.h"
#include "RouteServing/Gateway/PlatformSources.h"
#include "RouteServing/Gateway/UsageExchange.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Gateway {

// One service whose engines the fleet orders: its scaling terms, its engines per failure domain and its load.
struct ServiceCapacity {
    std::string service;
    Duties::ScalingTerms terms;
    std::vector<Duties::DomainCapacity> domains;
    Duties::EngineLoad load;
};

// Performs the duties of the fleet while this router holds the duty lease: reports usage and orders capacity. Duties/
// contains the rules; this class reads the log, appends to it and calls the platform, one call at a time. Runs as one
// fiber; only view() is thread-safe.
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

    // Runs until the process ends. Must be started in its own fiber.
    void run();

    // The state of the duties as known to this router after its last step. view() is thread-safe.
    struct View {
        std::string holder; // Empty if no router holds the duties, or if the holder is unknown.
        uint64_t token { 0 };
        uint64_t firstUnreported { 0 }; // The first usage window that still has to be reported.
        bool isOwn { false };
    };
    View view() const;

private:
    using Step = Duties::Lease::Step;

    // Performs one step and returns the time to wait before the next one.
    Common::Milliseconds step();
    Common::Milliseconds read(Common::TimePoint now);
    void recordChanges(const DutyLogSource::Changes&, Common::TimePoint started);
    void handleLeaseChange();
    void resolveConflict();
    // Appends the record to the log. Returns false if it was not appended, or if the outcome is unknown.
    bool append(const Duties::DutyRecord&);
    void appendLease(Step);
    // Returns this router's id and fencing token, or nullopt if the lease is not valid now. Called right before each
    // call to the platform.
    std::optional<DutyCaller> caller() const;

    // In the two groups below, true means that the step did some work, so the next step follows without a pause.
    bool reportUsage();
    bool appendWindow(uint64_t window);
    bool sendWindow(const Duties::WindowRecord&);
    void closeWindow(uint64_t window, std::string_view outcome);

    bool orderCapacity();
    bool orderCapacity(const ServiceCapacity&, Common::TimePoint now);
    void observeDemand(const ServiceCapacity&, Common::TimePoint now);
    void logNeed(const std::string& service, const Duties::CapacityNeed&, const Duties::CapacityParts&);
    bool sendOrder(const Duties::CapacityOrder&);
    // A call that the platform refused with Conflict. `order` is nullopt for a usage report.
    struct Conflict {
        uint64_t token { 0 };
        std::optional<Duties::CapacityOrder> order;
    };
    void recordConflict(Conflict);
    DutyMetrics::ConflictCause causeOf(const Conflict&) const;
    void logConflict(const Conflict&, DutyMetrics::ConflictCause) const;
    void publish();

    Parts m_parts;
    Settings m_settings;
    Duties::Lease m_lease;
    Duties::UsageReports m_reports;
    std::map<std::string, Duties::CapacityOrders> m_orders; // By service, like `m_demands`.
    std::map<std::string, Duties::CapacityDemand> m_demands;
    std::map<std::string, Duties::CapacityNeed> m_loggedNeeds; // By service.
    std::optional<Duties::LeaseRecord> m_lastLoggedLease;
    uint64_t m_firstUnreported { 0 }; // First usage window to report; written with the next lease record.
    uint64_t m_heldToken { 0 }; // Fencing token while this process holds the lease, else 0.
    unsigned m_readFailures { 0 }; // Consecutive failed reads.
    unsigned m_appendFailures { 0 }; // Failed appends since the last success.
    unsigned m_usageFailures { 0 }; // Consecutive failed usage reports.
    Common::TimePoint m_nextUsageReportAt {};
    Common::TimePoint m_nextCapacityPlanAt {};
    std::optional<Conflict> m_unresolvedConflict; // The log has not been read since.
    mutable std::mutex m_mutex; // Guards m_view.
    View m_view;
};

} // namespace Brassladder::RouteServing::Gateway
