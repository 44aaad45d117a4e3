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

// A test cluster of engines, services and routers, with helpers to send requests and read their outcomes.
class PromiseCluster : public Testing::Harness::Cluster {
public:
    explicit PromiseCluster(const PromiseClusterOptions& = {});

    // Returns the test configuration, with members of the class `requestClass` replaced.
    static Operator::FileSet configuration(const std::string& requestClass = {}, const Json& members = {});

    // Runs load in the background. The future holds the record of each call.
    std::future<std::vector<CallRecord>> runLoad(
        std::vector<Testing::Load::Arrivals>, double seconds, uint64_t seed = 1);
    // Calls a plain service once with an Idempotency-Key. The future holds the record of the call.
    std::future<CallRecord> callService(const std::string& router, const std::string& key,
        const std::string& requestClass = "payment", const std::string& attempt = {});

    static Testing::Load::Arrivals chat(const std::string& requestClass, double perSecond, double tokens);
    static Testing::Load::Arrivals service(const std::string& requestClass, double perSecond);

    // Returns a counter of the services, summed over all of them: runs `by_key` (Idempotency-Key) or `by_request` (id).
    std::map<std::string, uint32_t> runCounts(const std::string& counter);
    std::string explain(const std::string& requestId);
};

// Checks that no caller received a wrong response, or a partial response that was marked as complete.
void expectCorrectResponses(std::span<const CallRecord>);
// Checks that no request that was reported as not run did run, and that no key ran more than once.
void expectAccurateRunReports(PromiseCluster&, std::span<const CallRecord>);

size_t countWhole(std::span<const CallRecord>, const std::string& requestClass);
// Returns whether the connection failed before the caller received a complete response or an error.
bool isLostConnection(const CallRecord&);
// Counts the requests that ended with an error other than a lost connection.
size_t countRefused(std::span<const CallRecord>, const std::string& requestClass);

} // namespace Brassladder::ClassServing::Promises
