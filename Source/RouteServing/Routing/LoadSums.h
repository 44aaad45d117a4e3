// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <map>
#include <string>
#include <string_view>

namespace Brassladder::RouteServing::Routing {

// Adds up what routers tell of the requests that they have under way. What was told longer than `life` ago is
// forgotten: its teller may be gone. Not safe for several threads.
class LoadSums {
public:
    explicit LoadSums(Common::Milliseconds life)
        : m_life(life)
    {
    }

    // What a router told replaces what it told before. `routers`: for how many it speaks.
    void record(const std::string& router, LoadsByUpstream, unsigned routers, Common::TimePoint now);
    void forget(std::string_view router);
    // The sum over all tellers but one.
    LoadsByUpstream sumExcluding(std::string_view router, Common::TimePoint now) const;
    // For how many routers all tellers speak.
    unsigned routers(Common::TimePoint now) const;

private:
    struct Word {
        LoadsByUpstream loads;
        unsigned routers { 1 };
        Common::TimePoint at {};
    };
    bool isFresh(const Word&, Common::TimePoint now) const;

    Common::Milliseconds m_life;
    std::map<std::string, Word, std::less<>> m_words;
};

// Adds the second to the first.
void addLoads(LoadsByUpstream&, const LoadsByUpstream&);

} // namespace Brassladder::RouteServing::Routing
