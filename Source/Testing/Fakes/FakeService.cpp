// SPDX-License-Identifier: Apache-2.0
#include "Testing/Fakes/FakeService.h"

namespace Brassladder::Testing::Fakes {

using Common::Json;
using Common::member;

void FakeService::handle(Common::HttpExchange& exchange)
{
    auto path = exchange.path();
    if (path == "/load") {
        std::unique_lock lock(m_mutex);
        Json body = { { "running", m_running }, { "waiting", 0 }, { "leaving", m_faults.leaving } };
        lock.unlock();
        exchange.respond(Common::jsonResponse(body));
        return;
    }
    if (path == "/fake/fault")
        return setFaults(exchange);
    if (path == "/fake/counters")
        return counters(exchange);
    runCall(exchange);
}

void FakeService::runCall(Common::HttpExchange& exchange)
{
    bool lose = false;
    bool truncate = false;
    bool endEarly = false;
    Common::Milliseconds duration = m_duration;
    {
        std::unique_lock lock(m_mutex);
        if (m_faults.refuse || m_faults.leaving) {
            lock.unlock();
            exchange.respond({ 503, "{}", "application/json", { { "Brassladder-Ran", "no" } } });
            return;
        }
        ++m_runsByRequest[std::string(exchange.header("Brassladder-Request-Id"))];
        if (auto key = exchange.header("Idempotency-Key"); !key.empty())
            ++m_runsByKey[std::string(key)];
        ++m_running;
        lose = m_faults.loseAnswers > 0 && m_faults.loseAnswers--;
        truncate = m_faults.truncateAnswers > 0 && m_faults.truncateAnswers--;
        endEarly = m_faults.endAnswersEarly > 0 && m_faults.endAnswersEarly--;
        duration += m_faults.slow;
    }
    Common::sleepFor(duration);
    {
        std::lock_guard lock(m_mutex);
        --m_running;
    }
    if (lose)
        return exchange.abandon();
    Json body = { { "path", std::string(exchange.target()) }, { "echo", exchange.request().body() } };
    if (endEarly) {
        exchange.respond(
            { 200, Common::dumpJson(body).substr(0, 10), "application/json", {} }, Common::BodyFraming::UntilClose);
        return;
    }
    if (!truncate) {
        exchange.respond(Common::jsonResponse(body));
        return;
    }
    exchange.beginStream({ 200, {}, "application/json", {} });
    exchange.write(Common::dumpJson(body).substr(0, 10));
    exchange.abandon();
}

void FakeService::setFaults(Common::HttpExchange& exchange)
{
    Json body = Common::parseJson(exchange.request().body());
    {
        std::lock_guard lock(m_mutex);
        m_faults.loseAnswers = member<int64_t>(body, "lose_answers", m_faults.loseAnswers);
        m_faults.truncateAnswers = member<int64_t>(body, "truncate_answers", m_faults.truncateAnswers);
        m_faults.endAnswersEarly = member<int64_t>(body, "end_answers_early", m_faults.endAnswersEarly);
        m_faults.refuse = member<bool>(body, "refuse", m_faults.refuse);
        m_faults.leaving = member<bool>(body, "leaving", m_faults.leaving);
        m_faults.slow = Common::Milliseconds(member<int64_t>(body, "slow_ms", m_faults.slow.count()));
    }
    exchange.respond(Common::jsonResponse(Json::object()));
}

void FakeService::counters(Common::HttpExchange& exchange)
{
    std::unique_lock lock(m_mutex);
    Json body = { { "by_request", m_runsByRequest }, { "by_key", m_runsByKey } };
    lock.unlock();
    exchange.respond(Common::jsonResponse(body));
}

} // namespace Brassladder::Testing::Fakes
