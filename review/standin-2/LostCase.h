// SPDX-License-Identifier: Apache-2.0
#pragma once

// One request that a router may not survive, beside callers whose requests it has passed on (LOST).
#include "Standin.h"

namespace Review {

inline constexpr size_t routerCount = 3;
inline constexpr size_t callersOfRouter = 6;
inline constexpr size_t allowedLosses = 3;
inline constexpr Milliseconds deadline = 3000ms;

inline std::string lostCaseConfiguration(size_t headerLimit)
{
    return R"({"Version":1,"Routes":[{"Name":"pay","Host":"shop.example","PathPrefix":"/pay/","RouteKind":"idempotent",)"
           R"("TimeoutMs":3000,"SloMs":1000,"Priority":0,"MaxAttempts":2,"Service":"orders","Anonymous":false}],)"
           R"("Services":[{"Name":"orders","HealthPath":"/healthz"}],)"
           R"("Tenants":[{"Name":"tenant-one","ApiKeys":["key-one"]}],)"
           R"("Limits":{"MaxHeaderBytes":)"
        + std::to_string(headerLimit) + R"(,"MaxBodyBytes":1048576,"HeaderTimeoutMs":5000,"IdleTimeoutMs":20000}})";
}

inline std::string head(const std::string& id, const std::string& more = {}, const std::string& method = "GET")
{
    return method + " /pay/" + id + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: "
        + std::to_string(deadline.count()) + "\r\nAuthorization: Token key-one\r\n" + more + "\r\n";
}

struct Outcomes {
    std::mutex mutex;
    std::set<std::string> run; // Ids of the requests that workers have begun.
    std::set<std::string> unanswered; // Ids of the requests whose connection ended with no answer.
};

// One request after the other on a kept connection. The second one is at its worker when the long field arrives.
inline void callTwice(const Router& router, size_t number, Outcomes& outcomes, Record& record)
{
    int fd = connectTo(router.callers());
    if (fd < 0)
        return;
    Connection connection(fd);
    for (const char* which : { "first", "second" }) {
        auto id = router.id() + "-caller" + std::to_string(number) + "-" + which;
        record.line("sent " + id);
        connection.write(head(id));
        auto reply = connection.read(Clock::now() + deadline, true);
        record.line(
            "answered " + id + " " + (reply ? std::to_string(reply->status()) : "with the end of the connection"));
        if (reply)
            continue;
        std::lock_guard lock(outcomes.mutex);
        outcomes.unanswered.insert(id);
        return;
    }
}

// Returns the text of the request with that id.
using RequestText = std::function<std::string(const std::string& id)>;

// A caller repeats an idempotent request after any failure, each time on a new connection at another node.
inline void sendAtOneAfterTheOther(
    const std::vector<std::unique_ptr<Router>>& routers, const RequestText& textOf, Record& record)
{
    for (size_t attempt = 0; attempt < routers.size(); ++attempt) {
        auto id = "one-request-" + std::to_string(attempt);
        Connection connection(connectTo(routers[attempt]->callers()));
        record.line("sent " + id + " to " + routers[attempt]->id());
        connection.write(textOf(id));
        auto reply = connection.read(Clock::now() + 2s, true);
        record.line(
            "answered " + id + " " + (reply ? std::to_string(reply->status()) : "with the end of the connection"));
        if (reply)
            return;
    }
}

[[noreturn]] inline void playLostCase(
    const std::string& caseFolder, const std::string& configuration, const RequestText& textOf)
{
    auto folder = temporaryFolder();
    Record record(caseFolder + "/record.txt");
    Outcomes outcomes;
    Store store;
    store.put("keyed.op", "config", configuration);
    Worker::Hooks hooks;
    hooks.onRun = [&](const Worker& worker, const Message& request) {
        auto id = request.header("x-attempt-id");
        record.line("run " + id + " at " + worker.settings().id);
        std::lock_guard lock(outcomes.mutex);
        outcomes.run.insert(id);
    };
    std::vector<std::unique_ptr<Worker>> workers;
    for (unsigned index = 0; index < 3; ++index) {
        workers.push_back(std::make_unique<Worker>(
            WorkerSettings { "worker-" + std::to_string(index), "orders", "zone-a", 32, 32, 800ms }, hooks));
        workers.back()->keepListed(store);
    }
    std::vector<std::unique_ptr<Router>> routers;
    std::vector<uint16_t> seeds;
    for (size_t index = 0; index < routerCount; ++index) {
        routers.push_back(std::make_unique<Router>("edge-" + std::to_string(index), "zone-a", store.port(), folder));
        seeds.push_back(routers.back()->inner());
    }
    for (auto& router : routers)
        router->start(seeds, true);
    for (auto& router : routers) {
        if (!router->awaitReady(15s)) {
            std::cout << "a router did not become ready\n";
            routers.clear();
            std::filesystem::remove_all(folder);
            std::_Exit(notRun);
        }
    }
    sleepFor(4s); // All are in touch.
    std::vector<std::thread> callers;
    for (const auto& router : routers) {
        for (size_t number = 0; number < callersOfRouter; ++number)
            callers.emplace_back([&, number] { callTwice(*router, number, outcomes, record); });
    }
    sleepFor(1200ms); // The second requests are at their workers.
    sendAtOneAfterTheOther(routers, textOf, record);
    for (auto& caller : callers)
        caller.join();
    sleepFor(500ms);
    for (auto& router : routers) {
        if (auto status = router->ended()) {
            auto text = router->id() + " has ended by itself, "
                + (WIFSIGNALED(*status) ? "signal " + std::to_string(WTERMSIG(*status))
                                        : "code " + std::to_string(WEXITSTATUS(*status)));
            record.line(text);
            std::cout << text << "\n";
        }
    }
    size_t losses = 0;
    {
        std::lock_guard lock(outcomes.mutex);
        for (const auto& id : outcomes.unanswered)
            losses += outcomes.run.count(id);
    }
    std::cout << losses << " requests were passed on, run, and ended with no answer on their kept connection\n";
    routers.clear();
    std::filesystem::remove_all(folder);
    bool isBroken = losses > allowedLosses;
    std::cout << (isBroken ? "LOST is broken\n" : "LOST held\n");
    std::cout.flush();
    std::_Exit(isBroken ? broken : held);
}

} // namespace Review
