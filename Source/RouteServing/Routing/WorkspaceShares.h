// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/Prompt.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// Fair shares of workspaces while a rank is short of capacity (docs/design/workspace-shares.md).
namespace Brassladder::RouteServing::Routing {

// Identifies the work that one workspace requests from one service at one rank. Service and workspace are short hashes
// of their names (Routing::shortHash). Requests without a workspace have the hash of an empty name, so together they
// count as one workspace. Hashes below `reservedRows` identify the rows that RowKind describes.
struct DemandKey {
    uint32_t service { 0 };
    uint32_t workspace { 0 };
    uint32_t rank { 0 }; // 0 is the most urgent.

    auto operator<=>(const DemandKey&) const = default;
};

// Rows of a service and rank that belong to no single workspace, in place of the hash of a workspace.
enum class RowKind : uint32_t {
    Admitted, // Admitted work of all workspaces.
    Refused, // Refused work of workspaces within their shares.
    Limited, // Refused work of workspaces over their shares.
    Folded, // Requested work of the workspaces that have no row of their own.
};
inline constexpr uint32_t reservedRows = 4;

// Work by workspace, service and rank, in tokens per second.
struct WorkspaceDemands {
    std::map<DemandKey, uint64_t> rows;

    bool operator==(const WorkspaceDemands&) const = default;
};

// Adds each row of the second table to that row of the first.
void addLoads(WorkspaceDemands&, const WorkspaceDemands&);

// Keeps the reserved rows and the `maxRows` largest others, and adds the rest to the folded row of its service and
// rank.
WorkspaceDemands foldSmallRows(WorkspaceDemands, size_t maxRows);

// Returns the cost of a generation in prompt tokens: an upper bound, since the caller may end the output earlier.
uint64_t demandTokens(const Prompt&);

// What one participant of a fair division requests.
struct ShareRequest {
    double amount { 0 };
    double weight { 1 };
};

// Returns the weighted max-min level: each participant gets its amount, or its weight times the level if that is less.
// The sum is then `capacity`. Returns nullopt if the capacity suffices for all. Pure.
std::optional<double> fairLevel(std::vector<ShareRequest>, double capacity);

// The work of a rank at a service, over all routers, in tokens per second.
struct RankWork {
    double admitted { 0 };
    double refused { 0 }; // Of workspaces within their shares.
    double limited { 0 }; // Refused work of workspaces over their shares.

    // Whether requests are refused often enough to divide the capacity.
    bool isShort() const;
    // Returns the capacity to divide. It is slightly above the admitted work while workspaces within their shares are
    // hardly refused, and below it while they are. Without the former, a rank that is limited to its admitted work
    // would never admit more again.
    double capacityToDivide() const;
};

// A rate that follows the recent past, in units per second. Each amount decays exponentially.
class DecayedRate {
public:
    // Mean age of the amounts that the rate covers. At 17 requests per second, an estimate deviates by 10%.
    static constexpr Common::Milliseconds timeConstant { 3000 };

    void add(double amount, Common::TimePoint now);
    // Never negative, also if an amount was withdrawn that has decayed less than the sum.
    double perSecond(Common::TimePoint now) const;

private:
    double m_sum { 0 };
    Common::TimePoint m_at {};
};

// Knows what each workspace requests from all routers, and decides which requests exceed its share while the rank is
// short of capacity. All routers compute the same shares from the same sums, and each admits the same fraction of the
// requests of a workspace that is over its share. Does no I/O. Thread-safe.
class WorkspaceShares {
public:
    // Returns the weight of a workspace, given the hash of its name. Must be positive.
    using WeightOf = std::function<double(uint32_t workspace)>;

    // `routerId` determines the order of admitted and refused requests, so that routers do not act in step.
    explicit WorkspaceShares(std::string_view routerId, WeightOf weightOf = {});

    // One generation of a workspace.
    struct Work {
        std::string_view service;
        std::string_view workspace; // Empty if the request has none.
        unsigned rank { 0 };
        uint64_t tokens { 0 }; // See demandTokens().
    };
    void recordDemand(const Work&, Common::TimePoint now);
    void recordAdmitted(const Work&, Common::TimePoint now);
    // Withdraws admitted work that turned out not to run.
    void withdrawAdmitted(const Work&, Common::TimePoint now);
    void recordRefused(const Work&, Common::TimePoint now);

    // Returns whether to refuse this request because its workspace is over its share. Refuses the same fraction of the
    // workspace's requests at all routers, evenly spread. Must be called at most once for each request, and only while
    // the rank is short of capacity. False while nothing is known to be short.
    bool isOverShare(uint32_t service, uint32_t workspace, unsigned rank, Common::TimePoint now);

    // Returns this router's table, and drops rows that have decayed.
    WorkspaceDemands ownDemands(Common::TimePoint now);
    // Computes the shares from this router's table and the sum of all others. Without a call for `maxShareAge`, nothing
    // is limited.
    void update(const WorkspaceDemands& others, Common::TimePoint now);
    static constexpr Common::Milliseconds maxShareAge { 3000 };

    // A workspace that has become limited or that no longer is.
    struct Change {
        std::string service;
        std::string workspace;
        unsigned rank { 0 };
        bool isLimited { false };
        double requested { 0 }; // Over all routers, in tokens per second.
        double share { 0 };
    };
    // Returns the changes of workspaces with requests at this router since the last call.
    std::vector<Change> takeChanges();
    // Returns the number of workspaces that are over their share, by service and rank, also without requests here.
    size_t limitedCount(Common::TimePoint now) const;
    // Returns the fraction of its requests that the workspace may have admitted; 1 if it is not over its share.
    double admittedFraction(uint32_t service, uint32_t workspace, unsigned rank, Common::TimePoint now) const;

private:
    struct OwnRow {
        DecayedRate rate;
        std::string service; // The names are empty for reserved rows.
        std::string workspace;
    };
    struct Limit {
        double fraction { 1 }; // Of the requests that may be admitted.
        double requested { 0 };
        double share { 0 };
    };
    // Workspaces over their share at one service and rank.
    struct RankShares {
        std::map<uint32_t, Limit> limits; // By hash of the workspace.
        std::set<uint32_t> listed; // Workspaces with a row of their own.
        double foldedFraction { 1 }; // Of the workspaces without a row of their own.
    };
    struct Reported {
        std::string service;
        std::string workspace;
        Common::TimePoint lastLimited {};
    };
    using RankKey = std::pair<uint32_t, uint32_t>; // Service and rank.

    static DemandKey keyOf(const Work&);
    static uint32_t workspaceKey(uint32_t hash);
    void add(DemandKey, double tokens, Common::TimePoint now);
    WorkspaceDemands ownDemandsLocked(Common::TimePoint now);
    double fractionLocked(DemandKey, Common::TimePoint now) const;
    RankShares sharesOf(const std::map<uint32_t, uint64_t>& rows) const;
    void recordChanges(Common::TimePoint now);

    const uint64_t m_seed;
    const WeightOf m_weightOf;
    mutable std::mutex m_mutex; // Guards the members below.
    std::map<DemandKey, OwnRow> m_own;
    std::map<RankKey, RankShares> m_shares;
    std::map<DemandKey, uint64_t> m_counters; // Requests of limited workspaces that were decided.
    std::map<DemandKey, Reported> m_reported; // Workspaces that were reported as limited.
    std::vector<Change> m_changes;
    std::optional<Common::TimePoint> m_firstRecord;
    std::optional<Common::TimePoint> m_updatedAt;
};

} // namespace Brassladder::RouteServing::Routing
