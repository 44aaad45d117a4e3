// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/StreamOriginExchange.h"

#include <algorithm>

namespace Brassladder::RouteServing::Gateway {

using Common::Milliseconds;
using Common::TimePoint;
using Inner::Wire::Item;
using Routing::StreamKey;
using Routing::StreamOrigin;
using namespace std::chrono_literals;

// Several round trips within a region.
static constexpr Milliseconds homesTimeout = 50ms;
// For the question to all candidates, which finds records whose homes have changed.
static constexpr Milliseconds candidatesTimeout = 100ms;
// One more than there are copies, because the router that relays the stream is no home of it.
static constexpr size_t homesAsked = Routing::StreamHomes::copies + 1;

StreamOriginExchange::StreamOriginExchange(std::string self, std::string_view fleetKey)
    : m_self(std::move(self))
    , m_hash("stream origin " + std::string(fleetKey))
{
}

void StreamOriginExchange::setRouters(std::span<const std::string> ids)
{
    std::lock_guard lock(m_mutex);
    m_homes.setRouters(ids);
}

void StreamOriginExchange::recordUnreachable(const std::string& router)
{
    std::lock_guard lock(m_mutex);
    m_backoffs[router].recordTimeout(Common::now());
}

StreamKey StreamOriginExchange::keyOf(const StreamName& name) const
{
    std::array<std::string_view, 3> parts { name.workspace, name.route, name.attempt };
    return m_hash.compute(parts);
}

bool StreamOriginExchange::isUsable(const std::string& router, TimePoint now) const
{
    if (router == m_self)
        return false;
    auto backoff = m_backoffs.find(router);
    return backoff == m_backoffs.end() || !backoff->second.isIgnored(now);
}

std::vector<std::string> StreamOriginExchange::homesOf(const StreamKey& key, size_t count) const
{
    auto now = Common::now();
    return m_homes.homesOf(key[0], count, [&](const auto& router) { return isUsable(router, now); });
}

static void encode(
    const StreamKey& key, const StreamOrigin& origin, Milliseconds lifetime, Inner::Wire::StreamOrigin& entry)
{
    entry.set_key_high(key[0]);
    entry.set_key_low(key[1]);
    entry.set_service(origin.service);
    entry.set_software_version(origin.softwareVersion);
    entry.set_lifetime_ms(static_cast<uint32_t>(std::clamp<int64_t>(lifetime.count(), 0, UINT32_MAX)));
}

void StreamOriginExchange::publish(const StreamName& name, const StreamOrigin& origin, Milliseconds lifetime)
{
    if (name.attempt.empty() || origin.softwareVersion.empty())
        return;
    auto key = keyOf(name);
    std::vector<std::string> homes;
    {
        std::lock_guard lock(m_mutex);
        auto now = Common::now();
        m_origins.record(key, origin, now + lifetime, now);
        homes = homesOf(key, Routing::StreamHomes::copies);
    }
    for (const auto& home : homes) {
        Item item;
        encode(key, origin, lifetime, *item.mutable_stream_origins()->add_origins());
        m_send(home, std::move(item));
    }
}

std::optional<StreamOrigin> StreamOriginExchange::findOwn(const StreamKey& key) const
{
    std::lock_guard lock(m_mutex);
    return m_origins.find(key, Common::now());
}

std::optional<StreamOrigin> StreamOriginExchange::find(const StreamName& name, TimePoint deadline)
{
    auto key = keyOf(name);
    if (auto origin = findOwn(key))
        return origin;
    auto question = std::make_shared<Question>();
    std::vector<std::string> homes;
    std::vector<std::string> others;
    uint64_t sequence = 0;
    {
        std::lock_guard lock(m_mutex);
        sequence = ++m_lastSequence;
        m_questions[sequence] = question;
        auto candidates = homesOf(key, Routing::StreamHomes::maxCandidates);
        auto end = candidates.begin() + static_cast<ptrdiff_t>(std::min(homesAsked, candidates.size()));
        homes.assign(candidates.begin(), end);
        others.assign(end, candidates.end());
    }
    auto origin = ask(key, sequence, *question, homes, std::min(deadline, Common::now() + homesTimeout));
    if (!origin)
        origin = ask(key, sequence, *question, others, std::min(deadline, Common::now() + candidatesTimeout));
    std::lock_guard lock(m_mutex);
    m_questions.erase(sequence);
    return origin;
}

std::optional<StreamOrigin> StreamOriginExchange::ask(
    const StreamKey& key, uint64_t sequence, Question& question, std::span<const std::string> routers, TimePoint until)
{
    std::unique_lock lock(question.mutex);
    question.unanswered += routers.size();
    lock.unlock();
    for (const auto& router : routers) {
        Item item;
        auto& query = *item.mutable_stream_origin_query();
        query.set_sequence(sequence);
        query.set_key_high(key[0]);
        query.set_key_low(key[1]);
        m_send(router, std::move(item));
    }
    lock.lock();
    question.changed.wait_until(lock, until, [&] { return question.origin || !question.unanswered; });
    return question.origin;
}

void StreamOriginExchange::handOver()
{
    std::map<std::string, Item> items;
    {
        std::lock_guard lock(m_mutex);
        auto now = Common::now();
        for (const auto& record : m_origins.records(now)) {
            for (const auto& home : homesOf(record.key, Routing::StreamHomes::copies))
                encode(record.key, record.origin, Common::toMilliseconds(record.until - now),
                    *items[home].mutable_stream_origins()->add_origins());
        }
    }
    for (auto& [home, item] : items)
        m_send(home, std::move(item));
}

void StreamOriginExchange::receive(const std::string& sender, const Item& item)
{
    bool isOfExchange = item.has_stream_origins() || item.has_stream_origin_query() || item.has_stream_origin_reply();
    if (!isOfExchange)
        return;
    {
        std::lock_guard lock(m_mutex);
        m_backoffs.erase(sender);
    }
    if (item.has_stream_origins())
        receiveOrigins(item.stream_origins());
    else if (item.has_stream_origin_query())
        answer(sender, item.stream_origin_query());
    else
        receiveReply(item.stream_origin_reply());
}

void StreamOriginExchange::receiveOrigins(const Inner::Wire::StreamOrigins& origins)
{
    std::lock_guard lock(m_mutex);
    auto now = Common::now();
    for (const auto& entry : origins.origins())
        m_origins.record({ entry.key_high(), entry.key_low() }, { entry.service(), entry.software_version() },
            now + Milliseconds(entry.lifetime_ms()), now);
}

void StreamOriginExchange::answer(const std::string& sender, const Inner::Wire::StreamOriginQuery& query)
{
    StreamKey key { query.key_high(), query.key_low() };
    auto origin = findOwn(key);
    Item item;
    auto& reply = *item.mutable_stream_origin_reply();
    reply.set_sequence(query.sequence());
    reply.set_is_known(origin.has_value());
    if (origin)
        encode(key, *origin, 0ms, *reply.mutable_origin());
    m_send(sender, std::move(item));
}

void StreamOriginExchange::receiveReply(const Inner::Wire::StreamOriginReply& reply)
{
    QuestionPtr question;
    {
        std::lock_guard lock(m_mutex);
        auto found = m_questions.find(reply.sequence());
        if (found == m_questions.end())
            return;
        question = found->second;
    }
    std::lock_guard lock(question->mutex);
    question->unanswered -= std::min<size_t>(1, question->unanswered);
    if (reply.is_known() && !reply.origin().software_version().empty())
        question->origin = StreamOrigin { reply.origin().service(), reply.origin().software_version() };
    question->changed.notify_all();
}

Routing::StreamOriginTable::Summary StreamOriginExchange::summary() const
{
    std::lock_guard lock(m_mutex);
    return m_origins.summary();
}

} // namespace Brassladder::RouteServing::Gateway
