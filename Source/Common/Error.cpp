// SPDX-License-Identifier: Apache-2.0
#include "Common/Error.h"

#include <array>
#include <utility>

namespace Brassladder::Common {

using namespace std::chrono_literals;

// Retry delays: 1 s for overload, 2 s for platform outages and lost instances.
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
    ErrorTraits { ErrorKind::InstanceFull, "instance_full", 503, Ran::No, 1000ms },
    ErrorTraits { ErrorKind::QueueFull, "queue_full", 429, Ran::No, 1000ms },
    ErrorTraits { ErrorKind::DeadlineUnreachable, "deadline_unreachable", 429, Ran::No, 1000ms },
    ErrorTraits { ErrorKind::WaitExpired, "wait_expired", 429, Ran::No, 1000ms },
    ErrorTraits { ErrorKind::NoUpstream, "no_upstream", 503, Ran::No, 2000ms },
    ErrorTraits { ErrorKind::UpstreamConnect, "upstream_connect", 502, Ran::No, 1000ms },
    ErrorTraits { ErrorKind::UpstreamRefused, "upstream_refused", 503, Ran::No, 1000ms },
    // Default delay; callers usually get the time until the first of the upstreams is available again.
    ErrorTraits { ErrorKind::UpstreamsResting, "upstreams_resting", 503, Ran::No, 1000ms },
    // Default delay; callers usually get the time until the quota of the router permits the request.
    ErrorTraits { ErrorKind::UpstreamsLimited, "upstreams_limited", 503, Ran::No, 1000ms },
    // Another router may know where the stream began.
    ErrorTraits { ErrorKind::StreamUnknown, "stream_unknown", 503, Ran::No, 100ms },
    ErrorTraits { ErrorKind::StreamVersionGone, "stream_version_gone", 503, Ran::No, 1000ms },
    // Default delay; callers usually get a delay computed from the backlog (Routing/ReturnTime.h).
    ErrorTraits { ErrorKind::NoCapacity, "no_capacity", 503, Ran::No, 1000ms },
    ErrorTraits { ErrorKind::UpstreamBroken, "upstream_broken", 502, Ran::Maybe, 1000ms },
    ErrorTraits { ErrorKind::UpstreamTimeout, "upstream_timeout", 504, Ran::Maybe, 1000ms },
    ErrorTraits { ErrorKind::UpstreamLostState, "upstream_lost_state", 502, Ran::Maybe, 1000ms },
    ErrorTraits { ErrorKind::RetryBudgetSpent, "retry_budget_spent", 503, Ran::No, 2000ms },
    // No Retry-After, since a retry may crash another upstream. The status is not 503, which invites retries, and not
    // 4xx, since the request is valid and not proven to cause the crashes.
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
