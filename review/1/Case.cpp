// TWICE, model workers: a request goes on at another worker while the worker before it is still at work on it.
//
// Seven routers, twelve engines that take backups, generations on a route that may not be resumed. Five engines work on
// when a connection closes, as some workers do, and lose the answers of some of the requests that they run: the
// connection is closed after the first events, and the run goes on. A run counts as working until its last event is
// made.
#include "../standin/Standin.h"

using namespace Review;

namespace {

constexpr size_t engineCount = 12;
constexpr size_t faultyEngines = 5; // Work on when a connection closes, and lose answers. Every other one.
constexpr double lostShare = 0.4; // Of the answers of these engines.
constexpr unsigned eventCount = 56;
constexpr unsigned eventsBeforeLoss = 12;
constexpr int64_t eventGapMs = 50;
constexpr int64_t backupIntervalMs = 250;
constexpr unsigned requestCount = 80;
constexpr int64_t requestIntervalMs = 150;
constexpr int64_t overlapBoundMs = 400; // RULES, "Model workers", TWICE.
constexpr const char* key = "n2ctnfzs989anu6wsjnb";

struct Run {
    std::string engine;
    unsigned firstEvent { 1 };
    unsigned made { 0 };
    TimePoint started;
    std::optional<TimePoint> ended; // When the last event was made or the run was dropped.
    std::optional<TimePoint> lost; // When its connection was closed.
};

std::mutex s_mutex;
std::map<std::string, std::vector<std::shared_ptr<Run>>> s_runs; // By request.
std::map<std::string, unsigned> s_copies; // Events that a backup holds, by ADDRESS/REQUEST.
unsigned s_begun = 0;

bool runRequest(Worker& worker, Socket& socket, const Message& request, bool isFaulty)
{
    auto id = request.header("X-Attempt-Id");
    auto backup = request.header("X-Kv-Backup");
    auto from = request.header("Kv-From");
    auto run = std::make_shared<Run>();
    run->engine = worker.id();
    run->started = Clock::now();
    bool loses = false;
    {
        std::lock_guard lock(s_mutex);
        if (!from.empty()) {
            bool hasCopy = from == worker.address() + "/" + id && s_copies.contains(from);
            if (!hasCopy) {
                RECORD("%s has no copy %s and does not run %s", worker.id().c_str(), from.c_str(), id.c_str());
                return socket.sendAll(responseText(503, "X-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\n", ""));
            }
            run->firstEvent = static_cast<unsigned>(std::atoi(request.header("Last-Event-Id").c_str())) + 1;
        }
        s_runs[id].push_back(run);
        if (isFaulty && from.empty())
            loses = hasTrouble() && static_cast<unsigned>(lostShare * 100) > (s_begun++ * 37) % 100;
    }
    RECORD("%s runs %s from event %u%s%s%s", worker.id().c_str(), id.c_str(), run->firstEvent,
        from.empty() ? "" : ", with its copy", backup.empty() ? "" : ", backup at ", backup.c_str());
    bool isConnected = socket.sendAll("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: "
        + worker.seal(id) + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    auto lastBackup = Clock::now();
    for (unsigned event = run->firstEvent; event <= eventCount; ++event) {
        sleepMs(eventGapMs);
        if (isConnected && socket.isClosedByPeer()) {
            isConnected = false;
            RECORD("%s sees that the connection of %s is closed%s", worker.id().c_str(), id.c_str(),
                isFaulty ? ", and works on" : ", and drops it");
            if (!isFaulty)
                break;
        }
        char text[64];
        int length = std::snprintf(text, sizeof text, "id: %u\ndata: event %u of the answer\n\n", event, event);
        char size[16];
        std::snprintf(size, sizeof size, "%x\r\n", static_cast<unsigned>(length));
        if (isConnected)
            isConnected = socket.sendAll(std::string(size) + text + "\r\n");
        std::lock_guard lock(s_mutex);
        run->made = event;
        if (!backup.empty() && Clock::now() - lastBackup >= milliseconds(backupIntervalMs)) {
            s_copies[backup + "/" + id] = event;
            lastBackup = Clock::now();
        }
        if (loses && isConnected && event == eventsBeforeLoss) {
            RECORD("%s loses the answer of %s: closed after event %u, the run goes on", worker.id().c_str(), id.c_str(),
                event);
            socket.close();
            isConnected = false;
            run->lost = Clock::now();
        }
    }
    RECORD("%s ends its run of %s", worker.id().c_str(), id.c_str());
    std::lock_guard lock(s_mutex);
    run->ended = Clock::now();
    return isConnected && socket.sendAll("0\r\n\r\n");
}

std::string configuration()
{
    return R"({"Version":7,"Routes":[{"Name":"r-digest","Host":"ficu95.example","PathPrefix":"/digest/",)"
           R"("RouteKind":"streaming","TimeoutMs":15000,"SloMs":300,"Priority":0,"Service":"huvo11a","MaxAttempts":1,)"
           R"("Anonymous":false,"Sticky":true,"Resumable":false,"ItlTargetMs":250}],"Services":[{"Name":"huvo11a",)"
           R"("HealthPath":"/healthz","MaxConns":360,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,)"
           R"("KvCapacity":458638,"KvBytes":18432,"LinkMbps":550000.0,"Moves":true,"Backups":true,"Stride":5,"most":12,)"
           R"("PinMs":4000.0,"HoldMs":2000.0,"KvHandleS":5.0,"Models":[{"Name":"m"}]}}],"Limits":{"MaxHeaderBytes":16384,)"
           R"("MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"hule930",)"
           R"("ApiKeys":["n2ctnfzs989anu6wsjnb"],"Priority":1}]})";
}

// Returns whether the request went on at another worker while the one before was at work on it 400 ms later.
bool isBroken(const std::string& id, const std::vector<std::shared_ptr<Run>>& runs)
{
    bool isBroken = false;
    for (size_t later = 1; later < runs.size(); ++later) {
        for (size_t before = 0; before < later; ++before) {
            auto ended = runs[before]->ended.value_or(Clock::now());
            auto overlap = std::chrono::duration_cast<milliseconds>(ended - runs[later]->started).count();
            if (runs[before]->engine == runs[later]->engine || overlap <= overlapBoundMs)
                continue;
            RECORD("BROKEN: %s went on at %s, and %s was at work on it for %lld ms more", id.c_str(),
                runs[later]->engine.c_str(), runs[before]->engine.c_str(), static_cast<long long>(overlap));
            isBroken = true;
        }
    }
    return isBroken;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    auto place = Place::make(argumentCount, arguments);
    Record::get().open(place.caseFolder + "/record.txt");
    RECORD("TROUBLE=%d", hasTrouble() ? 1 : 0);
    Store store;
    store.put("keyed.op", "config", configuration());
    std::vector<std::string> zones { "hobart-a", "hobart-a", "hobart-a", "hobart-b", "hobart-b", "kingston",
        "kingston" };
    std::vector<std::unique_ptr<Worker>> engines;
    for (size_t index = 0; index < engineCount; ++index) {
        bool isFaulty = index % 2 == 0 && index / 2 < faultyEngines;
        engines.push_back(std::make_unique<Worker>("i-" + std::to_string(100 + index), "huvo11a",
            zones[index % zones.size()], 64, [isFaulty](Worker& worker, Socket& socket, const Message& request) {
                return runRequest(worker, socket, request, isFaulty);
            }));
        engines.back()->announce(store);
    }
    Fleet fleet(place, store, zones, R"("hobart-a=tas-south","hobart-b=tas-south","kingston=tas-south")",
        R"("configuration_ms":2000,"leaving_ms":2000,"revocation_ms":5000,"strict_revocation":true,"grace_s":8,)"
        R"("retry_ratio":0.2,"retry_window_s":10,"retry_allowance":54)");
    fleet.start();
    std::atomic<bool> isOver { false };
    std::thread beats([&] {
        while (!isOver) {
            sleepMs(1200);
            for (auto& engine : engines)
                engine->announce(store);
        }
    });
    sleepMs(4000); // In touch: calm for longer than `ContactMs`.

    std::vector<std::thread> clients;
    std::atomic<unsigned> whole { 0 };
    std::atomic<unsigned> cut { 0 };
    for (unsigned index = 0; index < requestCount; ++index) {
        sleepMs(requestIntervalMs);
        clients.emplace_back([&, index] {
            auto id = "9c41d07be2a3" + std::to_string(1000 + index);
            auto& router = fleet[index % fleet.size()];
            std::string body(1400, 'x');
            RECORD("client sends %s to %s", id.c_str(), router.id().c_str());
            auto answer = ask(router.frontPort(),
                "POST /digest/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " + id
                    + "\r\nX-Model: m\r\nX-Token-Count: 543,280\r\nX-Prompt-Prefix: " + std::to_string(100 + index % 8)
                    + ":100," + std::to_string(5000 + index) + ":443\r\nX-Deadline-Ms: 15000\r\nAuthorization: Token "
                    + key + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
                15'000);
            RECORD("client has %s: status %d, %s, %zu bytes", id.c_str(), answer.status,
                answer.isComplete ? "whole" : "cut", answer.message.body.size());
            ++(answer.isComplete && answer.status == 200 ? whole : cut);
        });
    }
    for (auto& client : clients)
        client.join();
    sleepMs(4000); // The runs whose answers were lost end.
    isOver = true;
    beats.join();

    unsigned broken = 0;
    unsigned lost = 0;
    std::lock_guard lock(s_mutex);
    for (const auto& [id, runs] : s_runs) {
        broken += isBroken(id, runs);
        lost += std::any_of(runs.begin(), runs.end(), [](const auto& run) { return run->lost.has_value(); });
    }
    RECORD("%u requests, %u answers whole, %u cut, %u answers lost by engines, %u requests worked on at two engines",
        requestCount, whole.load(), cut.load(), lost, broken);
    std::printf("%u requests, %u whole, %u cut, %u answers lost, %u worked on at two engines at once\n", requestCount,
        whole.load(), cut.load(), lost, broken);
    if (whole == 0)
        giveUp("no request was served");
    finish(fleet, broken ? 1 : 0);
}
