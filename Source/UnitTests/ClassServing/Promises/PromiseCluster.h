// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Testing/Harness/Cluster.h"
#include "Testing/Load/Generator.h"
#include "UnitTests/TestRuntime.h"

#include <future>
#include <gtest/gtest.h>

namespace Brassladder::ClassServing::Promises {

using Common::Json;
using Testing::Load::CallRecord;

struct PromiseClusterOptions {
    int engines { 3 };
    int services { 2 };
    int routers { 3 };
    Testing::Harness::EngineOptions engine { 2000, 4, 200 };
    std::map<std::string, std::string> routerSettings {};
};

// A cluster for one proof, with the calls that a proof makes.
class PromiseCluster : public Testing::Harness::Cluster {
public:
    explicit PromiseCluster(const PromiseClusterOptions& = {});

    // The test configuration with members of one class replaced.
    static Operator::FileSet configuration(const std::string& requestClass = {}, const Json& members = {});

    // Load in the background; the future holds its history.
    std::future<std::vector<CallRecord>> runLoad(
        std::vector<Testing::Load::Arrivals>, double seconds, uint64_t seed = 1);
    // One call of a plain service with a key, by a caller that waits for its end.
    std::future<CallRecord> callService(const std::string& router, const std::string& key,
        const std::string& requestClass = "payment", const std::string& attempt = {});

    static Testing::Load::Arrivals chat(const std::string& requestClass, double perSecond, double tokens);
    static Testing::Load::Arrivals service(const std::string& requestClass, double perSecond);

    // Runs by Idempotency-Key and by request id, over all services.
    std::map<std::string, uint32_t> runCounts(const std::string& counter);
    std::string explain(const std::string& requestId);
};

// What holds for every history, whatever failed: no caller got a wrong answer or an answer passed off as whole.
void expectCorrectResponses(std::span<const CallRecord>);
// Nothing was refused as "not run" that did run, and no key ran twice.
void expectAccurateRunReports(PromiseCluster&, std::span<const CallRecord>);

size_t countWhole(std::span<const CallRecord>, const std::string& requestClass);
// Whether the caller lost its connection instead of getting an answer.
bool isLostConnection(const CallRecord&);
// Requests that a router refused.
size_t countRefused(std::span<const CallRecord>, const std::string& requestClass);

} // namespace Brassladder::ClassServing::Promises
