// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpServer.h"
#include "RouteServing/Gateway/HeaderScheme.h"
#include "RouteServing/Gateway/KvReplica.h"
#include "RouteServing/Gateway/PlatformWatcher.h"
#include "RouteServing/Gateway/RetryWindows.h"
#include "RouteServing/Gateway/SseFramer.h"
#include "RouteServing/Gateway/StreamTimes.h"
#include "RouteServing/Gateway/UpstreamAttempt.h"
#include "RouteServing/Routing/FreshnessLease.h"
#include "RouteServing/Routing/RouteTable.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <memory>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Gateway {

// What all requests share.
struct RequestServices {
    const HeaderScheme& headerScheme;
    const PlatformWatcher& watcher;
    const Routing::FreshnessLease& lease;
    Routing::UpstreamRegistry& registry;
    RetryWindows& retries;
    bool isClosing { false }; // Late in a planned stop: nothing new is begun.
};

// One caller's request from its arrival to its final answer. Belongs to the fiber that serves the connection.
class RequestHandler {
public:
    RequestHandler(RequestServices, Common::HttpExchange&);

    void run();

private:
    // Whether the request goes on to another upstream.
    enum class Next : uint8_t { Done, TryAnother };

    bool admit();
    bool findRoute();
    bool findWorkspace();
    void readDeadline();
    bool keyIsUsable() const;

    void attemptUpstreams();
    Next runAttempt(const Routing::UpstreamRegistry::Placement&);
    Next onFailedAttempt(Routing::Fate, UpstreamAttempt&);
    Next relayWhole(UpstreamAttempt&);
    Next relayStream(UpstreamAttempt&);
    bool mayRetry(Routing::Fate);
    bool mayFailOver(Routing::Fate);
    // Long answers that may run only once are worth a copy of their run, while engines break off.
    bool wantsReplica(Common::TimePoint now) const;
    std::optional<Routing::UpstreamRegistry::Placement> chooseUpstream(Common::TimePoint now);

    std::string_view pickService() const;
    Common::HttpClientRequest callFor(const Routing::UpstreamRecord&) const;
    void refuse(Common::ErrorKind, std::string_view why);
    void answerWith(const Common::HttpClientResponse&, std::string body);
    void logEnd() const;

    RequestServices m_parts;
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
    bool m_replicatesKvCache { false }; // The service's engines do.
    unsigned m_batch { 1 };
    std::string m_requestId;
    std::string m_path;
    std::vector<std::string> m_attempted;
    KvReplica m_backup;
    std::optional<Routing::UpstreamRegistry::Placement> m_failover; // Where the run goes on, when it broke off.
    unsigned m_sent { 0 }; // Tries that may have reached an upstream.
    UpstreamAttempt* m_current { nullptr };
    SseFramer m_events;
    bool m_streaming { false };
    uint64_t m_queuedPrefillTokens { 0 }; // What the last choice was made on.
    uint64_t m_prefillTokens { 0 };
    StreamTimes m_times;
    bool m_mayHaveRun { false };
    unsigned m_status { 0 };
    std::string m_reason;
};

} // namespace Brassladder::RouteServing::Gateway
