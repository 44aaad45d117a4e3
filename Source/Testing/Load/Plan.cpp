// SPDX-License-Identifier: Apache-2.0
#include "Testing/Load/Plan.h"

#include <set>

namespace Brassladder::Testing::Load {

using Common::Fault;
using Common::Json;
using Common::member;

static void findUnknown(
    const Json& object, const std::set<std::string>& known, const std::string& pointer, std::vector<Fault>& faults)
{
    for (const auto& [key, value] : object.items()) {
        if (!known.contains(key))
            faults.push_back({ std::string(pointer).append("/").append(key), "unknown member" });
    }
}

static Arrivals readArrivals(const Json& json, const std::string& pointer, std::vector<Fault>& faults)
{
    static const std::set<std::string> s_known { "class", "key", "service_path", "per_second", "bursts",
        "median_tokens", "spread", "max_tokens", "stream", "idempotency_key", "retry_refused", "retries", "target_ms" };
    Arrivals arrivals;
    if (!json.is_object()) {
        faults.push_back({ pointer, "expected an object" });
        return arrivals;
    }
    findUnknown(json, s_known, pointer, faults);
    arrivals.requestClass = member<std::string>(json, "class", "");
    arrivals.key = member<std::string>(json, "key", "");
    arrivals.servicePath = member<std::string>(json, "service_path", "");
    arrivals.perSecond = member<double>(json, "per_second", 0);
    arrivals.medianTokens = member<double>(json, "median_tokens", arrivals.medianTokens);
    arrivals.spread = member<double>(json, "spread", arrivals.spread);
    arrivals.maxTokens = member<uint32_t>(json, "max_tokens", arrivals.maxTokens);
    arrivals.stream = member<bool>(json, "stream", true);
    arrivals.idempotencyKey = member<bool>(json, "idempotency_key", false);
    arrivals.retryRefused = member<bool>(json, "retry_refused", false);
    arrivals.retries = member<uint32_t>(json, "retries", arrivals.retries);
    arrivals.target = Common::Milliseconds(member<int64_t>(json, "target_ms", 0));
    if (json.contains("bursts") && json["bursts"].is_array()) {
        for (const auto& burst : json["bursts"])
            arrivals.bursts.push_back({ member<double>(burst, "from_s", 0), member<double>(burst, "to_s", 0),
                member<double>(burst, "factor", 1) });
    }
    if (arrivals.requestClass.empty())
        faults.push_back({ pointer + "/class", "missing" });
    if (arrivals.perSecond <= 0 || arrivals.perSecond > 100'000)
        faults.push_back({ pointer + "/per_second", "expected a number of requests above 0, up to 100000" });
    if (arrivals.target.count() <= 0)
        faults.push_back({ pointer + "/target_ms", "expected an integer of milliseconds above 0" });
    return arrivals;
}

std::variant<Plan, std::vector<Fault>> parsePlan(const Json& json)
{
    std::vector<Fault> faults;
    Plan plan;
    if (!json.is_object() || !json.contains("arrivals") || !json["arrivals"].is_array())
        return std::vector<Fault> { { "/arrivals", "expected an array" } };
    findUnknown(json, { "seed", "seconds", "arrivals" }, "", faults);
    plan.seed = member<uint64_t>(json, "seed", plan.seed);
    plan.seconds = member<double>(json, "seconds", plan.seconds);
    if (plan.seconds <= 0 || plan.seconds > 3600)
        faults.push_back({ "/seconds", "expected a number of seconds above 0, up to 3600" });
    for (const auto& item : json["arrivals"])
        plan.arrivals.push_back(readArrivals(item, "/arrivals/" + std::to_string(plan.arrivals.size()), faults));
    if (!faults.empty())
        return faults;
    return plan;
}

} // namespace Brassladder::Testing::Load
