// SPDX-License-Identifier: Apache-2.0
// Guards against callers that make a router which serves classes exceed the memory of its instance, end, or stop
// serving others.
#include "Common/Precompiled.h"

#include "Testing/Harness/Cluster.h"
#include "Testing/Harness/MemoryWatch.h"
#include "Testing/Load/ClientCrowd.h"
#include "Testing/Load/OrdinaryCallers.h"
#include "UnitTests/CrowdChecks.h"
#include "UnitTests/TestRuntime.h"

#include <gtest/gtest.h>

namespace Brassladder::ClassServing::Promises {

using namespace std::chrono_literals;
using Testing::Load::ClientCrowd;
using Testing::Load::OrdinaryCallers;
namespace Harness = Testing::Harness;

namespace {

constexpr size_t kilobyte = 1024;
constexpr size_t megabyte = 1024 * kilobyte;
constexpr size_t memoryMb = 110;

struct CrowdCase {
    const char* name;
    ClientCrowd::Behavior behavior;
};

std::ostream& operator<<(std::ostream& out, const CrowdCase& each) { return out << each.name; }

std::string startOf(const std::string& path, const std::string& classOfRequest)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + Harness::testKey
        + "\r\nBrassladder-Class: " + classOfRequest + "\r\n";
}

std::string withBody(const std::string& head, size_t length, const std::string& body)
{
    return head + "Content-Length: " + std::to_string(length) + "\r\n\r\n" + body;
}

// A chat request of many values, which need far more memory than their text.
std::string chatOfManyValues(size_t bytes)
{
    std::string body = R"({"messages":[1)";
    while (body.size() + 2 < bytes)
        body += ",1";
    body.resize(bytes - 2, ' ');
    return body + "]}";
}

std::string manyFields(size_t bytes)
{
    std::string fields;
    while (fields.size() < bytes)
        fields += "a:\r\n";
    return fields;
}

std::vector<CrowdCase> crowds()
{
    auto service = startOf("/services/orders/x", "stock");
    auto chat = startOf("/v1/chat/completions", "urgent");
    auto bytes = megabyte - kilobyte;
    return {
        { "Bodies", { 300, withBody(service, megabyte, std::string(megabyte - 1, 'b')), {} } },
        { "BodiesWithoutPath",
            { 300, withBody(startOf("/nowhere", "stock"), megabyte, std::string(megabyte - 1, 'b')), {} } },
        { "ChatsOfManyValues", { 100, withBody(chat, bytes, chatOfManyValues(bytes)), {} } },
        { "ManyFields", { 600, withBody(service + manyFields(15 * kilobyte), 100, ""), {} } },
        { "Silent", { 2200, {}, {} } },
        { "SlowHeads", { 2200, "POST /x HTTP/1.1\r\nX: ", "s", 1000ms } },
        { "HalfBodies", { 2200, withBody(service, 1000, std::string(500, 'b')), {} } },
        { "MetricsNotRead", { 100, {}, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 0ms, false } },
    };
}

class MisbehavingCallersTest : public testing::TestWithParam<CrowdCase> { };

Common::HttpClientRequest ordinaryRequest(size_t)
{
    return { "POST", "/services/orders/x", "{}",
        { { "Authorization", std::string("Bearer ") + Harness::testKey }, { "Brassladder-Class", "stock" } } };
}

} // namespace

enum class Listener { Callers, Inner };

static void expectOthersServedBeside(const ClientCrowd::Behavior& behavior, Listener listener)
{
    Harness::Cluster cluster(testRuntime());
    cluster.addEngine("engine-1");
    cluster.addService("orders-1", "orders", 0);
    cluster.addRouter(
        "router-1", { { "/instance/memory_mb", std::to_string(memoryMb) }, { "/instance/descriptors", "4100" } });
    cluster.publish(Harness::testConfiguration());
    auto& router = cluster.node("router-1");
    Harness::MemoryWatch memory(router.process->pid(), memoryMb * megabyte);
    auto inner = router.instance["inner"].get<std::string>();
    auto endpoint = listener == Listener::Inner ? valueOf(Common::parseEndpoint(inner)) : router.endpoint;
    OrdinaryCallers callers(testRuntime(), router.endpoint, ordinaryRequest);
    expectServed(callers, 500ms, "before");
    {
        ClientCrowd crowd(endpoint, behavior);
        expectServed(callers, 3s, "beside the crowd");
    }
    expectServed(callers, 1s, "after the crowd");
    expectWithin(memory, memoryMb * megabyte);
    EXPECT_FALSE(router.process->wait(1ms)) << cluster.logOf("router-1");
}

TEST_P(MisbehavingCallersTest, OthersAreServedWithinTheMemoryOfTheInstance)
{
    expectOthersServedBeside(GetParam().behavior, Listener::Callers);
}

INSTANTIATE_TEST_SUITE_P(Crowds, MisbehavingCallersTest, testing::ValuesIn(crowds()),
    [](const testing::TestParamInfo<CrowdCase>& info) { return std::string(info.param.name); });

// The same with clients that connect where other routers do, and send nothing.
TEST(MisbehavingPeersTest, OthersAreServedBesideSilentConnections)
{
    expectOthersServedBeside({ 2200, {}, {} }, Listener::Inner);
}

} // namespace Brassladder::ClassServing::Promises
