// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/RequestReport.h"

#include "Common/Log.h"
#include "RouteServing/Gateway/GatewayMetrics.h"

#include <absl/strings/str_cat.h>

namespace Brassladder::RouteServing::Gateway {

using GatewayMetrics::ContinuedAt;
using GatewayMetrics::ContinuedWithin;

static ContinuedAt continuedAt(const std::string& began, const std::string& now)
{
    if (began.empty() || now.empty())
        return ContinuedAt::Unknown;
    return began == now ? ContinuedAt::SameVersion : ContinuedAt::OtherVersion;
}

void RequestReport::recordPlacement(
    const Routing::UpstreamRegistry::Placement& placement, const Routing::UpstreamListOrigin& list)
{
    const auto& version = placement.upstream.softwareVersion;
    if (firstEventVersion)
        GatewayMetrics::streamContinued(ContinuedWithin::Response, continuedAt(*firstEventVersion, version));
    else if (continued.isStated() && attemptedUpstreams.empty())
        GatewayMetrics::streamContinued(ContinuedWithin::CallerAttempts, continuedAt(continued.version, version));
    attemptedUpstreams.push_back(placement.upstream.id);
    attemptedVersions.push_back(version);
    queuedPrefillTokens = placement.queuedPrefillTokens;
    prefillTokens = placement.prefillTokens;
    expectedFirstEvent = placement.expectedFirstEvent;
    lastPlaced = Common::now();
    isExpectedLate = placement.punctuality == Routing::Punctuality::Late;
    listAtPlacement = ListInUse { list, list.age(lastPlaced) };
    listAtSend.reset();
    upstreamBody.reset();
}

void RequestReport::recordFirstEvent(const Routing::UpstreamRecord& upstream)
{
    firstEventVersion = upstream.softwareVersion;
}

void RequestReport::recordSend(const Routing::UpstreamListOrigin& list, Common::TimePoint now)
{
    listAtSend = ListInUse { list, list.age(now) };
    lastSent = now;
    if (list.isConfirmed())
        GatewayMetrics::listAgeAtSend(now - list.confirmedAt);
}

void RequestReport::recordUpstreamBody(const UpstreamBodyEnd& body)
{
    upstreamBody = body;
    GatewayMetrics::upstreamBodyEnded(body.framing, body.end);
}

static std::string_view name(ResponseEnd end)
{
    switch (end) {
    case ResponseEnd::None:
        return "none";
    case ResponseEnd::Complete:
        return "complete";
    case ResponseEnd::Closed:
        return "closed";
    case ResponseEnd::Aborted:
        return "aborted";
    }
    return "none";
}

static std::string digestText(uint64_t digest) { return absl::StrCat(absl::Hex(digest, absl::kZeroPad16)); }

// Adds which list the last attempt was placed and sent by.
static void addLists(const RequestReport& report, Common::Json& fields)
{
    if (report.listAtPlacement) {
        fields["placed_list"] = digestText(report.listAtPlacement->origin.digest);
        fields["placed_list_age_ms"] = report.listAtPlacement->age.count();
    }
    if (!report.listAtSend)
        return;
    const auto& origin = report.listAtSend->origin;
    fields["sent_after_ms"] = Common::toMilliseconds(report.lastSent - report.arrived).count();
    fields["sent_list"] = digestText(origin.digest);
    fields["sent_list_age_ms"] = report.listAtSend->age.count();
    fields["sent_list_from"] = origin.confirmedBy.empty() ? "store" : origin.confirmedBy;
    fields["sent_list_hops"] = origin.hops;
}

static void addContinuation(const RequestReport& report, Common::Json& fields)
{
    if (report.firstEventVersion)
        fields["first_event_version"] = *report.firstEventVersion;
    if (!report.continued.isStated())
        return;
    fields["resumes"] = report.continued.attempt;
    fields["resumes_after_event"] = report.continued.lastEvent;
    fields["resumes_version"] = report.continued.version;
}

void reportFailedAttempt(const RequestReport& report, const UpstreamAttempt& attempt, bool retries,
    const std::optional<Routing::RequestIdentity>& identity)
{
    Common::Json fields { { "request", report.requestId }, { "upstream", attempt.upstream().id },
        { "version", attempt.upstream().softwareVersion }, { "fate", Routing::fateLabel(attempt.outcome()) },
        { "ended", Common::name(attempt.connectionEnd()) },
        { "ms", Common::toMilliseconds(Common::now() - report.lastPlaced).count() }, { "events", attempt.hasEvents() },
        { "problem", attempt.problem() }, { "again", retries } };
    if (auto retryAfter = attempt.response().header("Retry-After"); !retryAfter.empty())
        fields["retry_after"] = std::string(retryAfter);
    if (const auto& load = attempt.reportedLoad())
        fields["upstream_load"] = absl::StrCat(load->running, ",", load->waiting, ",", load->slots);
    if (attempt.relay())
        fields["relay"] = attempt.relay()->text();
    if (report.upstreamBody) {
        fields["framing"] = Common::name(report.upstreamBody->framing);
        fields["unfinished_event_bytes"] = report.upstreamBody->unfinishedEventBytes;
    }
    if (identity)
        fields["identity"] = identity->text();
    Common::log(Common::LogLevel::Info, "gateway", "try.failed", std::move(fields));
}

void reportRequestEnd(const RequestReport& report, Common::TimePoint now)
{
    GatewayMetrics::requestEnded(report.status, report.reason, now - report.arrived);
    Common::Json fields = { { "request", report.requestId }, { "status", report.status },
        { "ms", Common::toMilliseconds(now - report.arrived).count() } };
    if (!report.reason.empty())
        fields["reason"] = report.reason;
    if (!report.route.empty())
        fields["route"] = report.route;
    if (report.basis) {
        fields["version"] = report.basis->configurationVersion;
        fields["version_age_ms"] = report.basis->configurationAge.count();
        fields["upstreams_age_ms"] = report.basis->upstreamsAge.count();
    }
    if (!report.attemptedUpstreams.empty()) {
        fields["upstreams"] = report.attemptedUpstreams;
        fields["upstream_versions"] = report.attemptedVersions;
    }
    addContinuation(report, fields);
    addLists(report, fields);
    if (report.prefillTokens) {
        fields["awaited_tokens"] = report.queuedPrefillTokens;
        fields["unread_tokens"] = report.prefillTokens;
        fields["expected_first_event_ms"] = report.expectedFirstEvent.count();
        fields["expected_late"] = report.isExpectedLate;
    }
    if (report.streamTimes.hasEvents()) {
        fields["first_event_ms"] = report.streamTimes.firstEvent().count();
        fields["longest_pause_ms"] = report.streamTimes.longestPause().count();
    }
    if (report.upstreamBody) {
        fields["framing"] = Common::name(report.upstreamBody->framing);
        fields["body_end"] = report.upstreamBody->end;
        fields["unfinished_event_bytes"] = report.upstreamBody->unfinishedEventBytes;
    }
    if (!report.relay.empty())
        fields["relay"] = report.relay;
    fields["response_end"] = name(report.responseEnd);
    if (!report.statedLimit.empty())
        fields["named_limit"] = report.statedLimit;
    if (!report.statedTolerance.empty())
        fields["tolerated_rejections"] = report.statedTolerance;
    if (report.slotWait)
        fields["slot_wait_ms"] = report.slotWait->count();
    Common::log(Common::LogLevel::Info, "gateway", "request.end", std::move(fields));
}

} // namespace Brassladder::RouteServing::Gateway
