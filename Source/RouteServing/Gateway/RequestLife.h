// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpServer.h"
#include "RouteServing/Gateway/Dialect.h"
#include "RouteServing/Gateway/EventCutter.h"
#include "RouteServing/Gateway/Follower.h"
#include "RouteServing/Gateway/RetryWindows.h"
#include "RouteServing/Gateway/RunBackup.h"
#include "RouteServing/Gateway/StreamTimes.h"
#include "RouteServing/Gateway/UpstreamTry.h"
#include "RouteServing/Routing/FreshnessLease.h"
#include "RouteServing/Routing/RouteTable.h"
#include "RouteServing/Routing/UpstreamBoard.h"

#include <memory>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Gateway {

// What all requests share.
struct RequestParts {
    const Dialect& dialect;
    const Follower& follower;
    const Routing::FreshnessLease& lease;
    Routing::UpstreamBoard& board;
    RetryWindows& retries;
    bool isClosing { false }; // Late in a planned stop: nothing new is begun.
};

// One caller's request from its arrival to its final answer. Belongs to the fiber that serves the connection.
class RequestLife {
public:
    RequestLife(RequestParts, Common::HttpExchange&);

    void run();

private:
    // Whether the request goes on to another upstream.
    enum class Next : uint8_t { Done, TryAnother };

    bool admit();
    bool findRoute();
    bool findWorkspace();
    void readDeadline();
    bool keyIsUsable() const;

    void tryUpstreams();
    Next tryOne(const Routing::UpstreamBoard::Choice&);
    Next onNotAnswered(Routing::Fate, UpstreamTry&);
    Next relayWhole(UpstreamTry&);
    Next relayStream(UpstreamTry&);
    bool mayTryAgain(Routing::Fate);
    bool mayTakeOver(Routing::Fate);
    // Long answers that may run only once are worth a copy of their run, while engines break off.
    bool wantsBackup(Common::TimePoint now) const;
    std::optional<Routing::UpstreamBoard::Choice> chooseUpstream(Common::TimePoint now);

    std::string_view pickService() const;
    Common::HttpCall callFor(const Routing::UpstreamRecord&) const;
    void refuse(Common::ErrorKind, std::string_view why);
    void answerWith(const Common::HttpAnswer&, std::string body);
    void logEnd() const;

    RequestParts m_parts;
    Common::HttpExchange& m_exchange;
    Common::TimePoint m_arrived;
    Common::TimePoint m_deadline;
    ConfigurationPtr m_configuration; // Keeps the table of this request.
    const Routing::RouteTable* m_table { nullptr };
    const Routing::Route* m_route { nullptr };
    const Routing::Workspace* m_workspace { nullptr };
    std::string m_service;
    Routing::Prompt m_prompt;
    bool m_isGeneration { false };
    bool m_keepsBackups { false }; // The service's engines do.
    unsigned m_batch { 1 };
    std::string m_requestId;
    std::string m_path;
    std::vector<std::string> m_tried;
    RunBackup m_backup;
    std::optional<Routing::UpstreamBoard::Choice> m_takeOver; // Where the run goes on, when it broke off.
    unsigned m_sent { 0 }; // Tries that may have reached an upstream.
    UpstreamTry* m_current { nullptr };
    EventCutter m_events;
    bool m_streaming { false };
    uint64_t m_awaitedTokens { 0 }; // What the last choice was made on.
    uint64_t m_unreadTokens { 0 };
    StreamTimes m_times;
    bool m_mayHaveRun { false };
    unsigned m_status { 0 };
    std::string m_reason;
};

} // namespace Brassladder::RouteServing::Gateway
