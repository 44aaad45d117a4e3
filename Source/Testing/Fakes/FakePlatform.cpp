// SPDX-License-Identifier: Apache-2.0
#include "Testing/Fakes/FakePlatform.h"

#include <charconv>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace Brassladder::Testing::Fakes {

using Common::Json;
using Common::member;
using namespace std::chrono_literals;

static constexpr std::string_view streamsPrefix = "/streams/";
static constexpr std::string_view recordsSuffix = "/records";
// Maximum records in one response of the fake log.
static constexpr size_t recordsPerPage = 1000;
static constexpr Common::Milliseconds folderInterval = 50ms;

static int64_t wallClockMs()
{
    return std::chrono::duration_cast<Common::Milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

static uint64_t number(std::string_view text, uint64_t fallback)
{
    uint64_t value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

void FakeLog::handle(Common::HttpExchange& exchange)
{
    auto path = exchange.path();
    if (path == "/fake/fault")
        return setFaults(exchange);
    if (path == "/fake/counters") {
        exchange.respond(Common::jsonResponse({ { "appends", m_appends }, { "refused_appends", m_refusedAppends } }));
        return;
    }
    if (!path.starts_with(streamsPrefix) || !path.ends_with(recordsSuffix)) {
        exchange.respond(Common::jsonResponse(Json::object(), 404));
        return;
    }
    if (m_faults.slow.count())
        Common::sleepFor(m_faults.slow);
    if (m_faults.down) {
        exchange.respond(Common::jsonResponse(Json::object(), 503));
        return;
    }
    path.remove_prefix(streamsPrefix.size());
    path.remove_suffix(recordsSuffix.size());
    if (exchange.request().method() == boost::beast::http::verb::post)
        append(exchange, std::string(path));
    else
        read(exchange, std::string(path));
}

bool FakeLog::consumeAppendQuota()
{
    int64_t second = wallClockMs() / 1000;
    if (second != m_second) {
        m_second = second;
        m_appendsThisSecond = 0;
    }
    return m_appendsThisSecond++ < m_options.appendsPerSecond;
}

void FakeLog::append(Common::HttpExchange& exchange, const std::string& name)
{
    std::unique_lock lock(m_mutex);
    if (!consumeAppendQuota()) {
        ++m_refusedAppends;
        lock.unlock();
        exchange.respond(Common::jsonResponse(Json::object(), 429));
        return;
    }
    ++m_appends;
    auto& stream = m_streams[name];
    uint64_t offset = stream.next++;
    stream.records.push_back({ offset, wallClockMs(), exchange.request().body() });
    bool lose = m_faults.loseAnswers > 0 && m_faults.loseAnswers--;
    m_appended.notify_all();
    lock.unlock();
    if (lose)
        return exchange.abandon();
    exchange.respond(Common::jsonResponse({ { "offset", offset } }));
}

Json FakeLog::page(Stream& stream, uint64_t from)
{
    while (!stream.records.empty() && stream.records.front().timeMs + m_options.retention.count() < wallClockMs())
        stream.records.pop_front();
    Json records = Json::array();
    for (const auto& record : stream.records) {
        if (record.offset >= from && records.size() < recordsPerPage)
            records.push_back({ { "offset", record.offset }, { "time_ms", record.timeMs }, { "data", record.data } });
    }
    uint64_t first = stream.records.empty() ? stream.next : stream.records.front().offset;
    return { { "records", records }, { "first", first }, { "next", stream.next }, { "now_ms", wallClockMs() },
        { "retention_ms", m_options.retention.count() } };
}

void FakeLog::read(Common::HttpExchange& exchange, const std::string& name)
{
    uint64_t from = number(exchange.query("from"), 1);
    auto until = Common::now() + Common::Milliseconds(number(exchange.query("wait_ms"), 0));
    std::unique_lock lock(m_mutex);
    m_appended.wait_until(lock, until, [&] { return m_streams[name].next > from || m_faults.down; });
    bool down = m_faults.down;
    Json body = page(m_streams[name], from);
    lock.unlock();
    exchange.respond(down ? Common::jsonResponse(Json::object(), 503) : Common::jsonResponse(body));
}

void FakeLog::setFaults(Common::HttpExchange& exchange)
{
    Json body = Common::parseJson(exchange.request().body());
    {
        std::unique_lock lock(m_mutex);
        m_faults.down = member<bool>(body, "down", m_faults.down);
        m_faults.slow = Common::Milliseconds(member<int64_t>(body, "slow_ms", m_faults.slow.count()));
        m_faults.loseAnswers = member<int64_t>(body, "lose_answers", m_faults.loseAnswers);
        m_options.retention = Common::Milliseconds(member<int64_t>(body, "retention_ms", m_options.retention.count()));
        if (member<bool>(body, "replace", false))
            m_streams.clear();
        m_appended.notify_all();
    }
    exchange.respond(Common::jsonResponse(Json::object()));
}

static std::string readFolder(const std::string& folder)
{
    Json instances = Json::array();
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
        if (entry.path().extension() != ".json")
            continue;
        std::ifstream file(entry.path());
        std::stringstream text;
        text << file.rdbuf();
        Json instance = Common::parseJson(text.str());
        if (instance.is_object())
            instances.push_back(std::move(instance));
    }
    return Common::dumpJson({ { "instances", instances } });
}

void FakeInstanceList::run()
{
    while (true) {
        auto body = readFolder(m_folder);
        {
            std::lock_guard lock(m_mutex);
            m_snapshots.push_back({ Common::now(), std::move(body) });
            while (m_snapshots.size() > 1 && m_snapshots[1].at + m_lag <= Common::now())
                m_snapshots.pop_front();
        }
        Common::sleepFor(folderInterval);
    }
}

void FakeInstanceList::handle(Common::HttpExchange& exchange)
{
    if (exchange.path() == "/fake/fault") {
        Json body = Common::parseJson(exchange.request().body());
        {
            std::lock_guard lock(m_mutex);
            m_down = member<bool>(body, "down", m_down);
            m_lag = Common::Milliseconds(member<int64_t>(body, "lag_ms", m_lag.count()));
        }
        exchange.respond(Common::jsonResponse(Json::object()));
        return;
    }
    std::string body;
    {
        std::lock_guard lock(m_mutex);
        if (!m_down && !m_snapshots.empty())
            body = m_snapshots.front().body;
    }
    exchange.respond({ body.empty() ? 503u : 200u, body, "application/json", {} });
}

} // namespace Brassladder::Testing::Fakes
