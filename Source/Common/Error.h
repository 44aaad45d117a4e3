// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace Brassladder::Common {

// Whether an upstream executed the request. `No` is a guarantee: it is set only if no byte of the request can have
// reached an upstream, or if the contract of the upstream states that the request was not executed.
enum class Ran : uint8_t { No, Maybe, Yes };

// All error kinds. The table in Error.cpp maps each kind to its HTTP status and retry delay.
enum class ErrorKind : uint8_t {
    BadRequest,
    BodyTooLarge,
    HeadersTooLarge,
    RequestTimeout,
    Unauthenticated,
    ForbiddenClass,
    UnknownRoute,
    NotReady,
    TooManyConnections,
    InstanceFull,
    QueueFull,
    DeadlineUnreachable,
    WaitExpired,
    NoUpstream,
    UpstreamConnect,
    UpstreamRefused,
    UpstreamsResting,
    UpstreamsLimited,
    StreamUnknown,
    StreamVersionGone,
    NoCapacity,
    UpstreamBroken,
    UpstreamTimeout,
    UpstreamLostState,
    RetryBudgetSpent,
    CrashesUpstreams,
    DuplicateKey,
    ClaimUnavailable,
    Draining,
    CallerGone,
    PlatformUnavailable,
    PublishConflict,
    InvalidConfiguration,
    Internal,
};

// The response that a caller gets for an error kind.
struct ErrorTraits {
    ErrorKind kind;
    std::string_view name; // Stable: used on the wire, as metrics label and in logs.
    unsigned httpStatus;
    Ran ran; // Default; an Error may override it.
    std::chrono::milliseconds retryAfter; // Zero: no Retry-After, because a retry does not help.
};

std::span<const ErrorTraits> errorTable();
const ErrorTraits& traits(ErrorKind);
std::string_view name(ErrorKind);
std::string_view name(Ran);

// An error with the message and values that the caller gets.
struct Error {
    ErrorKind kind { ErrorKind::Internal };
    std::string message;
    Ran ran { Ran::No };
    std::chrono::milliseconds retryAfter { 0 };
};

// Creates an error with the default `ran` and `retryAfter` of its kind.
Error makeError(ErrorKind, std::string message);

// Result of an operation that can fail: a value or an Error.
template <typename T> using Result = std::variant<T, Error>;

// Value of a successful operation that has no other result.
struct Done { };
using Status = Result<Done>;

template <typename T> bool isError(const Result<T>& result) { return std::holds_alternative<Error>(result); }
template <typename T> const Error& errorOf(const Result<T>& result) { return std::get<Error>(result); }
template <typename T> T& valueOf(Result<T>& result) { return std::get<T>(result); }
template <typename T> const T& valueOf(const Result<T>& result) { return std::get<T>(result); }

} // namespace Brassladder::Common
