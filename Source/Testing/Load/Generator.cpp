// SPDX-License-Identifier: Apache-2.0
#include "Testing/Load/Generator.h"

#include "ClassServing/Upstream/SseParser.h"
#include "Common/Digest.h"
#include "Common/HttpClient.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <random>

namespace Brassladder::Testing::Load {

using Common::Json;
using Common::member;
using namespace std::chrono_literals;

// Timeouts for the first byte of a response and for a connection.
static constexpr Common::Milliseconds responseTimeout = 120s;
static constexpr Common::Milliseconds connectTimeout = 2s;
// Maximum random delay added to Retry-After, which spreads the retries of refused callers.
static constexpr uint64_t retryJitterMs = 500;
static constexpr size_t maxAnswerBytes = 16 * 1024 * 1024;

static Common::HttpClientRequest makeCall(const Call& call)
{
    const auto& arrivals = *call.arrivals;
    Common::HttpClientRequest http;
    http.method = "POST";
    http.connectTimeout = connectTimeout;
    http.responseTimeout = responseTimeout;
    http.headers = { { "Authorization", "Bearer " + arrivals.key }, { "Brassladder-Class", arrivals.requestClass },
        { "Content-Type", "application/json" } };
    if (!call.key.empty())
        http.headers.push_back({ "Idempotency-Key", call.key });
    if (!call.attempt.empty())
        http.headers.push_back({ "Brassladder-Attempt", call.attempt });
    if (!arrivals.servicePath.empty()) {
        http.target = arrivals.servicePath;
        http.body = call.nonce;
        return http;
    }
    http.target = "/v1/chat/completions";
    auto prompt = "nonce=" + call.nonce + " len=" + std::to_string(call.length);
    http.body = Common::dumpJson({ { "model", "default" }, { "stream", arrivals.stream },
        { "messages",
            { { { "role", "system" }, { "content", "You answer for " + arrivals.requestClass } },
                { { "role", "user" }, { "content", prompt } } } } });
    return http;
}

static void recordError(CallRecord& record, const Json& body)
{
    const auto& error = body.is_object() && body.contains("error") ? body["error"] : Json();
    record.refusal = member<std::string>(error, "kind", "unreadable_error");
    record.ran = member<std::string>(error, "ran", "maybe");
    record.retryAfter = Common::Milliseconds(member<int64_t>(error, "retry_after_ms", 0));
}

static std::string expectedToken(const Call& call, uint32_t index)
{
    return call.nonce + ":" + std::to_string(index) + " ";
}

static std::string deltaOf(const std::string& data)
{
    Json json = Common::parseJson(data);
    if (!json.is_object() || !json.contains("choices") || !json["choices"].is_array() || json["choices"].empty())
        return {};
    const auto& choice = json["choices"][0];
    return choice.contains("delta") ? member<std::string>(choice["delta"], "content", "") : std::string();
}

// Verifies each token of a stream: tokens arrive in order and belong to this request, and the end marker follows the
// last token.
static void readStream(
    Common::HttpConnection& connection, const Call& call, CallRecord& record, Common::TimePoint start)
{
    ClassServing::Upstream::SseParser parser;
    auto last = start;
    while (true) {
        auto chunk = connection.readBodyChunk();
        if (isError(chunk) || valueOf(chunk).empty()) {
            record.refusal = record.refusal.empty() && !record.isComplete ? "stream_cut" : record.refusal;
            return;
        }
        parser.feed(valueOf(chunk));
        while (auto event = parser.next()) {
            if (event->name == "error") {
                recordError(record, Common::parseJson(event->data));
                continue;
            }
            if (event->data == "[DONE]") {
                record.isComplete = record.tokens == call.length;
                record.isCorrupt = record.isCorrupt || !record.isComplete;
                continue;
            }
            auto now = Common::now();
            if (record.firstSeconds < 0)
                record.firstSeconds = Common::toSeconds(now - start);
            else
                record.longestGapSeconds = std::max(record.longestGapSeconds, Common::toSeconds(now - last));
            last = now;
            record.isCorrupt = record.isCorrupt || deltaOf(event->data) != expectedToken(call, record.tokens);
            ++record.tokens;
        }
    }
}

static void readWhole(const std::string& body, const Call& call, CallRecord& record)
{
    Json json = Common::parseJson(body);
    if (!call.arrivals->servicePath.empty()) {
        record.isComplete = member<std::string>(json, "echo", "") == call.nonce;
        record.isCorrupt = !record.isComplete;
        return;
    }
    std::string expected;
    for (uint32_t index = 0; index < call.length; ++index)
        expected += expectedToken(call, index);
    bool hasChoice = json.is_object() && json.contains("choices") && !json["choices"].empty();
    record.isComplete = hasChoice && member<std::string>(json["choices"][0]["message"], "content", "") == expected;
    record.isCorrupt = !record.isComplete;
    record.tokens = record.isComplete ? call.length : 0;
}

CallRecord callRouter(const Common::Endpoint& router, const Call& call)
{
    CallRecord record;
    record.requestClass = call.arrivals->requestClass;
    record.key = call.key;
    record.requestedTokens = call.arrivals->servicePath.empty() ? call.length : 0;
    auto start = Common::now();
    auto elapsed = [&] { return Common::toSeconds(Common::now() - start); };
    Common::HttpConnection connection;
    if (auto status = connection.connect(router, connectTimeout); isError(status)) {
        record.refusal = "connect_failed";
        record.ran = "no";
        record.totalSeconds = record.refusedSeconds = elapsed();
        return record;
    }
    auto answer = connection.start(makeCall(call));
    if (isError(answer)) {
        record.refusal = "no_answer";
        record.ran = "maybe";
        record.totalSeconds = record.refusedSeconds = elapsed();
        return record;
    }
    record.requestId = valueOf(answer).header("Brassladder-Request-Id");
    bool streamed = valueOf(answer).header("Content-Type") == "text/event-stream";
    if (valueOf(answer).status == 200 && streamed) {
        readStream(connection, call, record, start);
    } else {
        auto body = connection.readRemainingBody(maxAnswerBytes);
        if (isError(body)) {
            record.refusal = "answer_cut";
            record.ran = "maybe";
        } else if (valueOf(answer).status == 200) {
            record.firstSeconds = elapsed();
            readWhole(valueOf(body), call, record);
        } else {
            recordError(record, Common::parseJson(valueOf(body)));
            record.refusedSeconds = elapsed();
        }
    }
    record.totalSeconds = elapsed();
    return record;
}

namespace {

struct PlannedCall {
    double at { 0 };
    const Arrivals* arrivals { nullptr };
    uint32_t length { 0 };
    std::string nonce;
};

} // namespace

static double rateAt(const Arrivals& arrivals, double at)
{
    double rate = arrivals.perSecond;
    for (const auto& burst : arrivals.bursts) {
        if (at >= burst.fromSeconds && at < burst.toSeconds)
            rate *= burst.factor;
    }
    return rate;
}

// Draws Poisson arrivals by thinning from the highest rate. The same seed always produces the same requests.
static std::vector<PlannedCall> schedule(const Plan& plan)
{
    std::vector<PlannedCall> calls;
    uint64_t number = 0;
    for (const auto& arrivals : plan.arrivals) {
        std::mt19937_64 random(plan.seed * 1000003 + ++number);
        double highest = arrivals.perSecond;
        for (const auto& burst : arrivals.bursts)
            highest = std::max(highest, arrivals.perSecond * burst.factor);
        std::exponential_distribution<double> gap(highest);
        std::uniform_real_distribution<double> uniform(0, 1);
        std::lognormal_distribution<double> length(std::log(arrivals.medianTokens), arrivals.spread);
        for (double at = gap(random); at < plan.seconds; at += gap(random)) {
            bool kept = uniform(random) * highest < rateAt(arrivals, at);
            auto tokens
                = static_cast<uint32_t>(std::clamp(length(random), 1.0, static_cast<double>(arrivals.maxTokens)));
            if (kept)
                calls.push_back({ at, &arrivals, tokens,
                    std::to_string(plan.seed) + "x" + std::to_string(number) + "x" + std::to_string(calls.size()) });
        }
    }
    std::sort(calls.begin(), calls.end(),
        [](const PlannedCall& left, const PlannedCall& right) { return left.at < right.at; });
    return calls;
}

// Sends a call as a load balancer in front of the routers does: it skips routers that refuse connections.
static CallRecord callThroughBalancer(const Plan& plan, const Call& call, size_t& router)
{
    auto record = callRouter(plan.routers[router % plan.routers.size()], call);
    for (size_t tried = 1; record.refusal == "connect_failed" && tried < plan.routers.size(); ++tried)
        record = callRouter(plan.routers[++router % plan.routers.size()], call);
    return record;
}

// Sends one call and its retries. Retries only refusals which state that the request did not run.
static CallRecord callWithRetries(const Plan& plan, const PlannedCall& planned, size_t router)
{
    Call call { planned.arrivals, planned.nonce, planned.length, planned.arrivals->idempotencyKey ? planned.nonce : "",
        "" };
    auto start = Common::now();
    auto record = callThroughBalancer(plan, call, router);
    uint32_t tries = 1;
    while (planned.arrivals->retryRefused && !record.refusal.empty() && record.ran == "no"
        && tries <= planned.arrivals->retries) {
        // Callers must add jitter to Retry-After, as the operator documentation requires.
        Common::sleepFor(record.retryAfter + Common::Milliseconds(Common::randomNumber() % retryJitterMs));
        record = callThroughBalancer(plan, call, ++router);
        ++tries;
    }
    // Times are counted from the first attempt.
    double before = Common::toSeconds(Common::now() - start) - record.totalSeconds;
    record.tries = tries;
    if (record.firstSeconds >= 0)
        record.firstSeconds += before;
    record.totalSeconds += before;
    return record;
}

std::vector<CallRecord> run(Common::FiberRuntime& runtime, const Plan& plan)
{
    auto calls = schedule(plan);
    std::vector<CallRecord> records(calls.size());
    std::atomic<size_t> left { calls.size() };
    auto start = Common::now() + 20ms;
    for (size_t index = 0; index < calls.size(); ++index) {
        runtime.spawn([&, index] {
            auto at
                = start + std::chrono::duration_cast<Common::Duration>(std::chrono::duration<double>(calls[index].at));
            boost::this_fiber::sleep_until(at);
            double late = Common::toSeconds(Common::now() - at);
            auto record = callWithRetries(plan, calls[index], index);
            if (record.firstSeconds >= 0)
                record.firstSeconds += late;
            record.totalSeconds += late;
            record.intendedSeconds = calls[index].at;
            records[index] = std::move(record);
            left.fetch_sub(1);
        });
    }
    while (left)
        std::this_thread::sleep_for(5ms);
    return records;
}

double ClassReport::quantile(double part) const
{
    if (firstSeconds.empty())
        return 0;
    auto index = static_cast<size_t>(part * static_cast<double>(firstSeconds.size() - 1));
    return firstSeconds[index];
}

Report summarize(const Plan& plan, std::span<const CallRecord> records)
{
    std::map<std::string, double> targets;
    for (const auto& arrivals : plan.arrivals)
        targets[arrivals.requestClass] = Common::toSeconds(arrivals.target);
    Report report;
    for (const auto& record : records) {
        auto& each = report[record.requestClass];
        ++each.requests;
        each.corrupted += record.isCorrupt;
        if (!record.refusal.empty())
            ++each.refusals[record.refusal];
        if (record.firstSeconds >= 0) {
            each.firstSeconds.push_back(record.firstSeconds);
            each.maxFirstSeconds = std::max(each.maxFirstSeconds, record.firstSeconds);
        }
        if (!record.isComplete)
            continue;
        ++each.completed;
        each.usefulTokens += record.tokens;
        each.attained += record.firstSeconds <= targets[record.requestClass];
    }
    for (auto& [name, each] : report)
        std::sort(each.firstSeconds.begin(), each.firstSeconds.end());
    return report;
}

Json toJson(const Report& report)
{
    Json json = Json::object();
    for (const auto& [name, each] : report) {
        json[name] = { { "requests", each.requests }, { "whole", each.completed }, { "attainment", each.attainment() },
            { "wrong", each.corrupted }, { "useful_tokens", each.usefulTokens }, { "refusals", each.refusals },
            { "first_p50_s", each.quantile(0.5) }, { "first_p99_s", each.quantile(0.99) },
            { "first_longest_s", each.maxFirstSeconds } };
    }
    return json;
}

std::string toTable(const Report& report)
{
    std::string table
        = "class              requests    whole  attained  wrong    tokens  first p50   p99   longest  refused\n";
    for (const auto& [name, each] : report) {
        char line[256];
        std::snprintf(line, sizeof line, "%-18s %8zu %8zu   %6.2f%% %6zu %9zu   %7.3f %7.3f %7.2f ", name.c_str(),
            each.requests, each.completed, 100 * each.attainment(), each.corrupted, each.usefulTokens,
            each.quantile(0.5), each.quantile(0.99), each.maxFirstSeconds);
        table += line;
        for (const auto& [kind, count] : each.refusals)
            table += " " + kind + "=" + std::to_string(count);
        table += "\n";
    }
    return table;
}

} // namespace Brassladder::Testing::Load
