// SPDX-License-Identifier: Apache-2.0
#include "Common/Error.h"

#include <array>
#include <utility>

namespace Brassladder::Common {

using namespace std::chrono_literals;

// Times after which callers may come back. Refusals for load: about one second, in which a queue of short calls drains.
// Refusals for an outage of the platform or a lost instance: two seconds, in which a lost instance is replaced. Chosen,
// not measured.
static constexpr std::array s_errorTable {
    ErrorTraits { ErrorKind::BadRequest, "bad_request", 400, Ran::No, 0ms },
    ErrorTraits { ErrorKind::BodyTooLarge, "body_too_large", 413, Ran::No, 0ms },
    ErrorTraits { ErrorKind::HeadersTooLarge, "headers_too_large", 431, Ran::No, 0ms },
    ErrorTraits { ErrorKind::RequestTimeout, "request_timeout", 408, Ran::No, 1000ms },
    ErrorTraits { ErrorKind::Unauthenticated, "unauthenticated", 401, Ran::No, 0ms },
    ErrorTraits { ErrorKind::ForbiddenClass, "forbidden_class", 403, Ran::No, 0ms },
    ErrorTraits { ErrorKind::UnknownRoute, "unknown_route", 404, Ran::No, 0ms },
    ErrorTraits { ErrorKind::NotReady, "not_ready", 503, Ran::No, 2000ms },
    ErrorTraits { ErrorKind::TooManyConnections, "too_many_connections", 503, Ran::No, 1000ms },
    ErrorTraits { ErrorKind::QueueFull, "queue_full", 429, Ran::No, 1000ms },
    ErrorTraits { ErrorKind::DeadlineUnreachable, "deadline_unreachable", 429, Ran::No, 1000ms },
    ErrorTraits { ErrorKind::WaitExpired, "wait_expired", 429, Ran::No, 1000ms },
    ErrorTraits { ErrorKind::NoUpstream, "no_upstream", 503, Ran::No, 2000ms },
    ErrorTraits { ErrorKind::UpstreamConnect, "upstream_connect", 502, Ran::No, 1000ms },
    ErrorTraits { ErrorKind::UpstreamRefused, "upstream_refused", 503, Ran::No, 1000ms },
    // Usually with the time until the first of them is back.
    ErrorTraits { ErrorKind::UpstreamsResting, "upstreams_resting", 503, Ran::No, 1000ms },
    // Usually with the time until the router may send as much as it could not.
    ErrorTraits { ErrorKind::UpstreamsLimited, "upstreams_limited", 503, Ran::No, 1000ms },
    ErrorTraits { ErrorKind::UpstreamBroken, "upstream_broken", 502, Ran::Maybe, 1000ms },
    ErrorTraits { ErrorKind::UpstreamTimeout, "upstream_timeout", 504, Ran::Maybe, 1000ms },
    ErrorTraits { ErrorKind::UpstreamLostState, "upstream_lost_state", 502, Ran::Maybe, 1000ms },
    ErrorTraits { ErrorKind::RetryBudgetSpent, "retry_budget_spent", 503, Ran::No, 2000ms },
    // Final: no time to come back, and not 503, which invites callers to come back; not 4xx, since the request is
    // proper and no proof says that it is at fault.
    ErrorTraits { ErrorKind::CrashesUpstreams, "crashes_upstreams", 502, Ran::No, 0ms },
    ErrorTraits { ErrorKind::DuplicateKey, "duplicate_key", 409, Ran::Maybe, 0ms },
    ErrorTraits { ErrorKind::ClaimUnavailable, "claim_unavailable", 503, Ran::No, 2000ms },
    ErrorTraits { ErrorKind::Draining, "draining", 503, Ran::No, 1000ms },
    ErrorTraits { ErrorKind::CallerGone, "caller_gone", 499, Ran::Maybe, 0ms },
    ErrorTraits { ErrorKind::PlatformUnavailable, "platform_unavailable", 503, Ran::No, 2000ms },
    ErrorTraits { ErrorKind::PublishConflict, "publish_conflict", 409, Ran::No, 0ms },
    ErrorTraits { ErrorKind::InvalidConfiguration, "invalid_configuration", 422, Ran::No, 0ms },
    ErrorTraits { ErrorKind::Internal, "internal", 500, Ran::Maybe, 1000ms },
};

std::span<const ErrorTraits> errorTable() { return s_errorTable; }

const ErrorTraits& traits(ErrorKind kind) { return s_errorTable[static_cast<size_t>(kind)]; }

std::string_view name(ErrorKind kind) { return traits(kind).name; }

std::string_view name(Ran ran)
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Maybe:
        return "maybe";
    case Ran::Yes:
        return "yes";
    }
    return "maybe";
}

Error makeError(ErrorKind kind, std::string message)
{
    const auto& row = traits(kind);
    return { kind, std::move(message), row.ran, row.retryAfter };
}

} // namespace Brassladder::Common
