// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/Upstream.h"

#include <map>
#include <string>
#include <string_view>

namespace Brassladder::RouteServing::Routing {

// Sums the newest load reports of other routers. Ignores reports older than `maxAge`, because their sender may have
// ended. Not thread-safe.
class LoadSums {
public:
    explicit LoadSums(Common::Milliseconds maxAge)
        : m_maxAge(maxAge)
    {
    }

    // Replaces the sender's last report. `routers` is the number of routers that the report covers.
    void record(const std::string& sender, LoadsByUpstream, unsigned routers, Common::TimePoint now);
    void forget(std::string_view sender);
    // Returns the sum over all senders except `sender`.
    LoadsByUpstream sumExcluding(std::string_view sender, Common::TimePoint now) const;
    // Returns how many routers the recent reports cover in total.
    unsigned routers(Common::TimePoint now) const;

private:
    struct Report {
        LoadsByUpstream loads;
        unsigned routers { 1 };
        Common::TimePoint at {};
    };
    bool isRecent(const Report&, Common::TimePoint now) const;

    Common::Milliseconds m_maxAge;
    std::map<std::string, Report, std::less<>> m_reports; // By sender.
};

} // namespace Brassladder::RouteServing::Routing
