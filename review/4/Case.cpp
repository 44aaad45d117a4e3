// SPDX-License-Identifier: Apache-2.0
// The workers of two services are replaced one after the other: does the router still take new connections when many
// have come and gone?
#include "../standin-2/Standin.h"

using namespace Review;

static constexpr size_t serviceCount = 2;
static constexpr size_t workersOfService = 4;
static constexpr size_t callerCount = 340;
static constexpr size_t newCallerCount = 8;
static constexpr rlim_t maxDescriptors = 4100; // MaxFds
static constexpr Milliseconds contact = 4000ms; // ContactMs
static constexpr Milliseconds gap = 1000ms;
static constexpr Milliseconds drain = 3000ms; // DrainMs
static constexpr Milliseconds deadline = 5000ms;
static constexpr Milliseconds length = 85s;

static const std::string configuration
    = R"({"Version":1,"Routes":[{"Name":"first","Host":"shop.example","PathPrefix":"/first/","RouteKind":"idempotent",)"
      R"("TimeoutMs":5000,"SloMs":1000,"Priority":0,"MaxAttempts":2,"Service":"service-0","Anonymous":false},)"
      R"({"Name":"second","Host":"shop.example","PathPrefix":"/second/","RouteKind":"idempotent",)"
      R"("TimeoutMs":5000,"SloMs":1000,"Priority":0,"MaxAttempts":2,"Service":"service-1","Anonymous":false}],)"
      R"("Services":[{"Name":"service-0","HealthPath":"/healthz"},{"Name":"service-1","HealthPath":"/healthz"}],)"
      R"("Tenants":[{"Name":"tenant-one","ApiKeys":["key-one"]}],)"
      R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

static std::string requestText(const std::string& id, size_t service)
{
    return std::string("GET /") + (service ? "second" : "first") + "/" + id
        + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id
        + "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\nAuthorization: Token key-one\r\n\r\n";
}

// One request after the other on a kept connection.
static void callOnKept(uint16_t port, size_t number, const std::atomic<bool>& isOver)
{
    while (!isOver) {
        int fd = connectTo(port);
        if (fd < 0) {
            sleepFor(200ms);
            continue;
        }
        Connection connection(fd);
        for (size_t sequence = 0; !isOver; ++sequence) {
            auto id = "kept-" + std::to_string(number) + "-" + std::to_string(sequence);
            connection.write(requestText(id, number % serviceCount));
            auto reply = connection.read(Clock::now() + deadline + 500ms, true);
            if (!reply || lower(reply->header("connection")) == "close")
                break;
            if (reply->status() != 200)
                sleepFor(300ms);
        }
    }
}

// What callers on new connections, and the platform, have got.
struct Answers {
    std::mutex mutex;
    std::vector<TimePoint> tries; // Of new connections.
    std::vector<TimePoint> taken; // Of answers on new connections, whatever the status.
    std::vector<std::pair<TimePoint, bool>> readiness;
};

static void callOnNew(uint16_t port, size_t number, Answers& answers, Record& record, const std::atomic<bool>& isOver)
{
    for (size_t sequence = 0; !isOver; ++sequence) {
        auto id = "new-" + std::to_string(number) + "-" + std::to_string(sequence);
        {
            std::lock_guard lock(answers.mutex);
            answers.tries.push_back(Clock::now());
        }
        int fd = connectTo(port);
        std::optional<Message> reply;
        if (fd >= 0) {
            Connection connection(fd);
            connection.write(requestText(id, number % serviceCount));
            reply = connection.read(Clock::now() + 1500ms, true);
        }
        record.line("new connection, request " + id + ": " + (reply ? std::to_string(reply->status()) : "no answer"));
        if (reply) {
            std::lock_guard lock(answers.mutex);
            answers.taken.push_back(Clock::now());
        }
        sleepFor(500ms);
    }
}

// The platform asks once a second, on a kept connection.
static void askReadiness(uint16_t port, Answers& answers, Record& record, const std::atomic<bool>& isOver)
{
    std::unique_ptr<Connection> connection;
    while (!isOver) {
        if (!connection) {
            int fd = connectTo(port);
            if (fd >= 0)
                connection = std::make_unique<Connection>(fd);
        }
        bool isReady = false;
        if (connection) {
            connection->write("GET /api/readyz HTTP/1.1\r\nHost: r\r\n\r\n");
            auto reply = connection->read(Clock::now() + 900ms, true);
            isReady = reply && reply->status() == 200;
            if (!reply)
                connection.reset();
        }
        record.line(std::string("readiness: ") + (isReady ? "200" : "not ready"));
        {
            std::lock_guard lock(answers.mutex);
            answers.readiness.emplace_back(Clock::now(), isReady);
        }
        sleepFor(1000ms);
    }
}

// Returns the longest time in which no new connection was taken while the router said that it is ready.
static Milliseconds longestRefusal(const Answers& answers, TimePoint from, TimePoint until)
{
    Milliseconds longest { 0 };
    auto since = from;
    auto consider = [&](TimePoint end) {
        for (const auto& [at, isReady] : answers.readiness) {
            if (at >= since && at <= end && !isReady)
                return;
        }
        longest = std::max(longest, std::chrono::duration_cast<Milliseconds>(end - since));
    };
    for (auto at : answers.taken) {
        consider(at);
        since = at;
    }
    consider(until);
    return longest;
}

int main(int, char** argv)
{
    auto folder = temporaryFolder();
    Record record(std::string(argv[1]) + "/record.txt");
    Store store;
    store.put("keyed.op", "config", configuration);
    std::atomic<size_t> runs { 0 };
    Worker::Hooks hooks;
    hooks.onRun = [&](const Worker&, const Message&) { ++runs; };
    std::vector<std::unique_ptr<Worker>> all;
    std::vector<std::deque<Worker*>> inService(serviceCount);
    auto add = [&](size_t service) {
        all.push_back(std::make_unique<Worker>(WorkerSettings { "worker-" + std::to_string(all.size()),
                                                   "service-" + std::to_string(service), "zone-a", 64, 64, 500ms },
            hooks));
        all.back()->keepListed(store);
        inService[service].push_back(all.back().get());
        record.line(all.back()->settings().id + " begins");
    };
    for (size_t service = 0; service < serviceCount; ++service) {
        for (size_t index = 0; index < workersOfService; ++index)
            add(service);
    }
    Router router("edge-0", "zone-a", store.port(), folder);
    router.setDescriptorLimit(maxDescriptors);
    router.start({ router.inner() }, true);
    if (!router.awaitReady(15s)) {
        std::cout << "the router did not become ready\n";
        return notRun;
    }
    sleepFor(5s); // In touch.
    std::atomic<bool> isOver { false };
    Answers answers;
    auto from = Clock::now();
    std::vector<std::thread> threads;
    for (size_t number = 0; number < callerCount; ++number)
        threads.emplace_back([&, number] { callOnKept(router.callers(), number, isOver); });
    for (size_t number = 0; number < newCallerCount; ++number)
        threads.emplace_back([&, number] { callOnNew(router.callers(), number, answers, record, isOver); });
    threads.emplace_back([&] { askReadiness(router.readiness(), answers, record, isOver); });
    sleepFor(3s);
    size_t replaced = 0;
    for (auto next = Clock::now(); Clock::now() < from + length; next += gap) {
        std::this_thread::sleep_until(next);
        record.line("descriptors of the router: " + std::to_string(router.descriptors()) + ", workers replaced "
            + std::to_string(replaced) + ", runs " + std::to_string(runs));
        if (isTroubleLeftOut())
            continue;
        for (size_t service = 0; service < serviceCount; ++service) {
            add(service); // The new one starts first.
            inService[service].front()->leave(store, drain + 500ms);
            inService[service].pop_front();
            ++replaced;
        }
    }
    auto until = Clock::now();
    auto descriptors = router.descriptors();
    isOver = true;
    Milliseconds longest { 0 };
    {
        std::lock_guard lock(answers.mutex);
        longest = longestRefusal(answers, from, until);
    }
    auto text = std::to_string(replaced) + " workers were replaced, " + std::to_string(descriptors)
        + " descriptors are open; no new connection was taken for " + std::to_string(longest.count())
        + " ms at most, while the router said that it is ready and " + std::to_string(newCallerCount)
        + " callers tried";
    record.line(text);
    std::cout << text << "\n";
    router.kill();
    std::filesystem::remove_all(folder);
    bool isBroken = longest > contact;
    std::cout << (isBroken ? "RECOVER is broken\n" : "RECOVER held\n");
    std::cout.flush();
    std::_Exit(isBroken ? broken : held);
}
