// SPDX-License-Identifier: Apache-2.0
#include "Testing/Fakes/SimulatedEngine.h"

#include <algorithm>

namespace Brassladder::Testing::Fakes {

using RouteServing::Routing::Prompt;

static Common::TimePoint after(Common::TimePoint time, double milliseconds)
{
    return time
        + std::chrono::duration_cast<Common::TimePoint::duration>(
            std::chrono::duration<double, std::milli>(milliseconds));
}

void SimulatedEngine::submit(const Generation& generation, Common::TimePoint now)
{
    if (m_waiting.empty() && m_running.empty())
        m_now = std::max(m_now, now);
    m_waiting.emplace(std::pair(generation.level, m_arrivals++), generation);
}

void SimulatedEngine::cancel(uint64_t generation)
{
    std::erase_if(m_waiting, [&](const auto& waiting) { return waiting.second.number == generation; });
    std::erase_if(m_running, [&](const auto& running) { return running.generation.number == generation; });
}

// Admits a waiting generation if the batch has room and fewer than `chunkTokens` prompt tokens are still to be
// prefilled.
void SimulatedEngine::admit()
{
    uint64_t pendingTokens = 0;
    for (const auto& running : m_running)
        pendingTokens += running.tokensToPrefill;
    while (!m_waiting.empty() && m_running.size() < m_traits.batch && pendingTokens < m_traits.chunkTokens) {
        auto next = m_waiting.begin();
        RunningGeneration running { next->second, next->second.prompt.tokens, 0 };
        const auto* prefix = running.generation.prompt.sharedPrefix();
        auto sharedTokens = std::min(running.tokensToPrefill, running.generation.prompt.sharedTokens());
        if (prefix && hasCached(prefix->id))
            running.tokensToPrefill -= sharedTokens;
        else if (prefix)
            m_prefixTokens += sharedTokens;
        running.tokensToPrefill = std::max<uint32_t>(1, running.tokensToPrefill);
        pendingTokens += running.tokensToPrefill;
        m_running.push_back(std::move(running));
        m_waiting.erase(next);
    }
}

// Returns the number of prefilled tokens.
uint32_t SimulatedEngine::prefill()
{
    uint32_t left = m_traits.chunkTokens;
    for (auto& running : m_running) {
        auto piece = std::min(left, running.tokensToPrefill);
        if (!piece)
            continue;
        running.tokensToPrefill -= piece;
        left -= piece;
        if (!running.tokensToPrefill)
            cachePrefix(running.generation.prompt);
    }
    return m_traits.chunkTokens - left;
}

void SimulatedEngine::cachePrefix(const Prompt& prompt)
{
    const auto* prefix = prompt.sharedPrefix();
    if (!prefix)
        return;
    auto [kept, isNew] = m_cache.try_emplace(prefix->id, 0, prompt.sharedTokens());
    kept->second.first = ++m_useCounter;
    if (isNew)
        m_cachedTokens += prompt.sharedTokens();
    while (m_cachedTokens > m_traits.cacheTokens) {
        auto oldest = std::min_element(m_cache.begin(), m_cache.end(),
            [](const auto& a, const auto& b) { return a.second.first < b.second.first; });
        m_cachedTokens -= oldest->second.second;
        m_cache.erase(oldest);
    }
}

void SimulatedEngine::decode(std::vector<Event>& events)
{
    for (auto& running : m_running) {
        if (running.tokensToPrefill)
            continue;
        ++running.decodedTokens;
        bool isLast = running.decodedTokens >= running.generation.outputTokens;
        if (isLast || running.decodedTokens % m_traits.tokensPerEvent == 0)
            events.push_back({ running.generation.number, m_now, isLast });
    }
    std::erase_if(
        m_running, [](const auto& running) { return running.decodedTokens >= running.generation.outputTokens; });
}

std::vector<SimulatedEngine::Event> SimulatedEngine::runUntil(Common::TimePoint until)
{
    std::vector<Event> events;
    while (m_now < until) {
        admit();
        if (m_running.empty()) {
            m_now = until;
            break;
        }
        auto prefilled = prefill();
        m_now = after(m_now,
            m_traits.slowdown
                * (m_traits.stepMs + m_traits.stepMsPerRunning * static_cast<double>(m_running.size())
                    + prefilled / m_traits.prefillTokensPerMs));
        decode(events);
    }
    return events;
}

} // namespace Brassladder::Testing::Fakes
