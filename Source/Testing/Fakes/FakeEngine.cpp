// SPDX-License-Identifier: Apache-2.0
#include "Testing/Fakes/FakeEngine.h"

#include "Common/Digest.h"

#include <charconv>

namespace Brassladder::Testing::Fakes {

using Common::Json;
using Common::member;

static constexpr std::string_view requestsPrefix = "/v1/requests/";
static constexpr size_t prefixBytes = 1024;
// Maximum number of load reports that are kept for the delayed responses of `/load`.
static constexpr size_t maxReports = 4096;

FakeEngine::FakeEngine(Options options)
    : m_options(options)
{
}

static std::string wordAfter(std::string_view text, std::string_view mark)
{
    auto start = text.find(mark);
    if (start == std::string_view::npos)
        return {};
    text.remove_prefix(start + mark.size());
    return std::string(text.substr(0, text.find_first_of(" \n\t")));
}

static uint32_t numberAfter(std::string_view text, std::string_view mark, uint32_t fallback)
{
    auto word = wordAfter(text, mark);
    uint32_t number = fallback;
    std::from_chars(word.data(), word.data() + word.size(), number);
    return number;
}

void FakeEngine::handle(Common::HttpExchange& exchange)
{
    auto path = exchange.path();
    if (path == "/v1/chat/completions")
        return generate(exchange);
    if (path == "/load")
        return reportLoad(exchange);
    if (path == "/fake/fault")
        return setFaults(exchange);
    if (path == "/fake/counters")
        return counters(exchange);
    if (path.starts_with(requestsPrefix)) {
        path.remove_prefix(requestsPrefix.size());
        auto slash = path.find('/');
        std::string id(path.substr(0, slash));
        if (path.substr(slash + 1) == "pause")
            return pause(exchange, id);
        if (path.substr(slash + 1) == "resume")
            return resume(exchange, id);
    }
    exchange.respond(Common::jsonResponse(Json::object(), 404));
}

void FakeEngine::generate(Common::HttpExchange& exchange)
{
    Json body = Common::parseJson(exchange.request().body());
    if (!body.is_object() || !body.contains("messages") || !body["messages"].is_array() || body["messages"].empty()) {
        exchange.respond(Common::jsonResponse(Json::object(), 400));
        return;
    }
    auto generation = std::make_shared<Generation>();
    {
        std::unique_lock lock(m_mutex);
        if (m_faults.leaving || m_faults.refuse) {
            exchange.respond({ 503, "{}", "application/json", { { "Brassladder-Ran", "no" } } });
            return;
        }
        auto prompt = member<std::string>(body["messages"].back(), "content", "");
        generation->id = exchange.header("Brassladder-Request-Id");
        generation->nonce = wordAfter(prompt, "nonce=");
        generation->length = numberAfter(prompt, "len=", 16);
        generation->priority = numberAfter(exchange.header("Brassladder-Priority"), "", 3);
        generation->order = m_nextOrder++;
        auto prefix
            = Common::stableHash(std::string_view(Common::dumpJson(body["messages"].front())).substr(0, prefixBytes));
        auto cached = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
        generation->prefillLeft = cached == m_prefixes.end() ? m_options.prefillSteps : 0;
        if (cached != m_prefixes.end()) {
            ++m_prefixHits;
            m_prefixes.erase(cached);
        }
        m_prefixes.push_front(prefix);
        if (m_prefixes.size() > m_options.cachedPrefixes)
            m_prefixes.pop_back();
        ++m_starts;
        ++m_startsById[generation->id];
        m_waiting.insert({ generation->priority, generation->order, generation });
        admit();
        m_work.notify_all();
    }
    stream(exchange, generation, 0);
}

void FakeEngine::resume(Common::HttpExchange& exchange, const std::string& id)
{
    GenerationPtr generation;
    {
        std::unique_lock lock(m_mutex);
        auto found = m_paused.find(id);
        if (found == m_paused.end()) {
            exchange.respond(Common::jsonResponse(Json::object(), 410));
            return;
        }
        generation = found->second;
        m_paused.erase(found);
        generation->state = State::Waiting;
        generation->order = m_nextOrder++;
        m_waiting.insert({ generation->priority, generation->order, generation });
        admit();
        m_work.notify_all();
    }
    stream(exchange, generation, numberAfter(exchange.target(), "from=", 0));
}

void FakeEngine::pause(Common::HttpExchange& exchange, const std::string& id)
{
    std::unique_lock lock(m_mutex);
    auto found = std::find_if(
        m_running.begin(), m_running.end(), [&](const auto& generation) { return generation->id == id; });
    if (found == m_running.end()) {
        lock.unlock();
        exchange.respond(Common::jsonResponse(Json::object(), 404));
        return;
    }
    auto generation = *found;
    m_running.erase(found);
    generation->state = State::Paused;
    m_paused[id] = generation;
    m_pausedOrder.push_back(id);
    while (m_pausedOrder.size() > m_options.maxPaused) {
        m_paused.erase(m_pausedOrder.front());
        m_pausedOrder.pop_front();
    }
    generation->changed.notify_all();
    admit();
    lock.unlock();
    exchange.respond(Common::jsonResponse({ { "tokens", generation->produced } }));
}

// Sends tokens as they are produced, until the generation ends or is paused, or the caller disconnects.
void FakeEngine::stream(Common::HttpExchange& exchange, const GenerationPtr& generation, uint32_t sent)
{
    exchange.watchCaller([this, weak = std::weak_ptr(generation)] {
        Common::FiberRuntime::spawnOnCurrentThread([this, weak] {
            if (auto live = weak.lock())
                removeGeneration(live);
        });
    });
    bool open = exchange.beginStream({ 200, {}, "text/event-stream", {} });
    while (open) {
        std::unique_lock lock(m_mutex);
        generation->changed.wait(
            lock, [&] { return generation->produced > sent || generation->state >= State::Paused; });
        uint32_t produced = generation->produced;
        State state = generation->state;
        lock.unlock();
        std::string events;
        for (; sent < produced; ++sent) {
            Json token = { { "choices",
                { { { "index", 0 },
                    { "delta", { { "content", generation->nonce + ":" + std::to_string(sent) + " " } } } } } } };
            events += "data: " + Common::dumpJson(token) + "\n\n";
        }
        if (state == State::Finished)
            events += "data: [DONE]\n\n";
        if (state == State::Paused)
            events += "event: paused\ndata: {\"tokens\":" + std::to_string(sent) + "}\n\n";
        open = exchange.write(events);
        if (state == State::Finished || state == State::Paused) {
            if (open)
                exchange.endStream();
            return;
        }
        if (state == State::Cut)
            break;
    }
    removeGeneration(generation);
    if (open && m_faults.cutCleanly) {
        exchange.endStream();
        return;
    }
    exchange.abandon();
}

void FakeEngine::removeGeneration(const GenerationPtr& generation)
{
    std::unique_lock lock(m_mutex);
    if (generation->state == State::Waiting)
        m_waiting.erase({ generation->priority, generation->order, generation });
    std::erase(m_running, generation);
    if (generation->state < State::Paused) {
        generation->state = State::Cut;
        generation->changed.notify_all();
    }
    admit();
}

void FakeEngine::admit()
{
    while (m_running.size() < m_options.slots && !m_waiting.empty()) {
        auto generation = std::get<2>(*m_waiting.begin());
        m_waiting.erase(m_waiting.begin());
        generation->state = State::Running;
        m_running.push_back(generation);
    }
}

void FakeEngine::step()
{
    std::vector<GenerationPtr> gone;
    for (const auto& generation : m_running) {
        if (generation->prefillLeft) {
            --generation->prefillLeft;
            continue;
        }
        ++generation->produced;
        ++m_tokens;
        bool cut = m_faults.cutAfterTokens >= 0 && generation->produced > m_faults.cutAfterTokens;
        if (cut || generation->produced >= generation->length) {
            generation->state = cut ? State::Cut : State::Finished;
            gone.push_back(generation);
        }
        generation->changed.notify_all();
    }
    for (const auto& generation : gone)
        std::erase(m_running, generation);
    admit();
}

void FakeEngine::run()
{
    auto next = Common::now();
    while (true) {
        {
            std::unique_lock lock(m_mutex);
            if (m_running.empty()) {
                m_work.wait_for(lock, std::chrono::milliseconds(50), [&] { return !m_running.empty(); });
                next = Common::now();
            }
            m_reports.push_back(
                { Common::now(), static_cast<uint32_t>(m_running.size()), static_cast<uint32_t>(m_waiting.size()) });
            if (m_reports.size() > maxReports)
                m_reports.pop_front();
        }
        // Steps keep a fixed rate. After a late wake-up the engine catches up at most four steps.
        auto length = std::chrono::duration_cast<Common::Duration>(m_options.step * m_faults.slowFactor);
        next = std::max(next + length, Common::now() - 4 * length);
        boost::this_fiber::sleep_until(next);
        std::unique_lock lock(m_mutex);
        step();
    }
}

void FakeEngine::reportLoad(Common::HttpExchange& exchange)
{
    std::unique_lock lock(m_mutex);
    auto until = Common::now() - m_options.reportLag;
    Report report;
    for (const auto& each : m_reports) {
        if (each.at > until)
            break;
        report = each;
    }
    Json body = { { "running", report.running }, { "waiting", report.waiting }, { "slots", m_options.slots },
        { "leaving", m_faults.leaving } };
    if (m_faults.reportedLoad >= 0)
        body["running"] = m_faults.reportedLoad;
    lock.unlock();
    exchange.respond(Common::jsonResponse(body));
}

void FakeEngine::setFaults(Common::HttpExchange& exchange)
{
    Json body = Common::parseJson(exchange.request().body());
    {
        std::unique_lock lock(m_mutex);
        m_faults.slowFactor = member<double>(body, "slow_factor", m_faults.slowFactor);
        m_faults.cutAfterTokens = member<int64_t>(body, "cut_after_tokens", m_faults.cutAfterTokens);
        m_faults.cutCleanly = member<bool>(body, "cut_cleanly", m_faults.cutCleanly);
        m_faults.leaving = member<bool>(body, "leaving", m_faults.leaving);
        m_faults.refuse = member<bool>(body, "refuse", m_faults.refuse);
        m_faults.reportedLoad = member<int64_t>(body, "reported_load", m_faults.reportedLoad);
        if (member<bool>(body, "forget_paused", false))
            m_paused.clear();
    }
    exchange.respond(Common::jsonResponse(Json::object()));
}

void FakeEngine::counters(Common::HttpExchange& exchange)
{
    std::unique_lock lock(m_mutex);
    uint32_t mostStarts = 0;
    for (const auto& [id, starts] : m_startsById)
        mostStarts = std::max(mostStarts, starts);
    Json body = { { "tokens", m_tokens }, { "starts", m_starts }, { "most_starts_of_one", mostStarts },
        { "prefix_hits", m_prefixHits }, { "running", m_running.size() }, { "waiting", m_waiting.size() },
        { "paused", m_paused.size() } };
    lock.unlock();
    exchange.respond(Common::jsonResponse(body));
}

} // namespace Brassladder::Testing::Fakes
