// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/SuspectEndpoint.h"

#include "Common/Digest.h"
#include "Common/Log.h"

namespace Brassladder::RouteServing::Gateway {

using Common::ErrorKind;
using Common::Json;
using Common::TimePoint;
using Routing::SuspectRecord;

static bool hasFleetKey(const Common::HttpExchange& exchange, std::string_view fleetKey)
{
    return Common::constantTimeEquals(exchange.header("Authorization"), "Bearer " + std::string(fleetKey));
}

static Json toJson(const SuspectRecord& suspect, Routing::Suspicion suspicion, TimePoint now)
{
    auto count = Routing::countCrashes(suspect);
    Json runs = Json::array();
    for (const auto& run : suspect.runs)
        runs.push_back({ { "upstream", run.upstream.id }, { "born", run.upstream.born }, { "request", run.requestId },
            { "ms", Common::toMilliseconds(run.ended - run.sent).count() },
            { "ago_ms", Common::toMilliseconds(now - run.ended).count() } });
    Json entry { { "identity", suspect.request.text() }, { "kind", Routing::kindName(suspect.request) },
        { "state", Routing::name(suspicion) }, { "workspace", suspect.workspace }, { "target", suspect.target },
        { "crashes", count.all }, { "in_turn", count.sequential }, { "trials", suspect.trials },
        { "runs", std::move(runs) } };
    if (!suspect.request.isPromptPart())
        entry["body_bytes"] = suspect.request.bodyBytes;
    if (auto trial = Routing::nextTrial(suspect))
        entry["next_trial_in_ms"] = std::max<int64_t>(0, Common::toMilliseconds(*trial - now).count());
    return entry;
}

static Json suspectsToJson(const Routing::SuspectLedger& ledger)
{
    auto now = Common::now();
    Json list = Json::array();
    for (const auto& suspect : ledger.list(now)) {
        auto suspicion = ledger.suspicionOf(suspect.request, now);
        if (suspicion != Routing::Suspicion::None)
            list.push_back(toJson(suspect, suspicion, now));
    }
    return { { "suspects", std::move(list) } };
}

static void refuse(Common::HttpExchange& exchange, ErrorKind kind, std::string message)
{
    exchange.respond(Common::errorResponse(Common::makeError(kind, std::move(message))));
}

static void lift(Common::HttpExchange& exchange, Routing::SuspectLedger& ledger)
{
    auto identity = exchange.query("id");
    if (!ledger.clearSuspect(identity, Common::now()))
        return refuse(exchange, ErrorKind::UnknownRoute, "no suspect with this identity is known to this router");
    Common::log(Common::LogLevel::Warning, "gateway", "suspect.lifted", { { "identity", identity } });
    exchange.respond(Common::jsonResponse({ { "lifted", identity } }));
}

void serveSuspects(Common::HttpExchange& exchange, Routing::SuspectLedger& ledger, std::string_view fleetKey)
{
    if (!hasFleetKey(exchange, fleetKey))
        return refuse(exchange, ErrorKind::Unauthenticated, "the fleet key is required");
    bool isPost = exchange.request().method() == boost::beast::http::verb::post;
    if (exchange.path() == suspectsPath && !isPost)
        return (void)exchange.respond(Common::jsonResponse(suspectsToJson(ledger)));
    if (exchange.path() == liftPath && isPost)
        return lift(exchange, ledger);
    refuse(exchange, ErrorKind::UnknownRoute, "expected GET /suspects or POST /suspects/lift?id=ID");
}

} // namespace Brassladder::RouteServing::Gateway
