// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/LoadSums.h"

namespace Brassladder::RouteServing::Routing {

void addLoads(LoadsByUpstream& sum, const LoadsByUpstream& more)
{
    for (const auto& [upstream, load] : more) {
        auto& total = sum[upstream];
        total.requests += load.requests;
        total.writers += load.writers;
        total.prefillTokens += load.prefillTokens;
    }
}

void LoadSums::record(const std::string& router, LoadsByUpstream loads, unsigned routers, Common::TimePoint now)
{
    m_words.insert_or_assign(router, Word { std::move(loads), routers, now });
}

void LoadSums::forget(std::string_view router)
{
    if (auto found = m_words.find(router); found != m_words.end())
        m_words.erase(found);
}

bool LoadSums::isFresh(const Word& word, Common::TimePoint now) const { return now - word.at < m_life; }

LoadsByUpstream LoadSums::sumExcluding(std::string_view router, Common::TimePoint now) const
{
    LoadsByUpstream sum;
    for (const auto& [teller, word] : m_words) {
        if (teller != router && isFresh(word, now))
            addLoads(sum, word.loads);
    }
    return sum;
}

unsigned LoadSums::routers(Common::TimePoint now) const
{
    unsigned count = 0;
    for (const auto& [teller, word] : m_words)
        count += isFresh(word, now) ? word.routers : 0;
    return count;
}

} // namespace Brassladder::RouteServing::Routing
