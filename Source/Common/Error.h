// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace Brassladder::Common {

// Whether the work behind a request ran. `No` is a promise to the caller and is only said when no byte of the request
// can have reached an upstream, or when the upstream's own contract says that it did not run.
enum class Ran : uint8_t { No, Maybe, Yes };

// The closed list of error kinds. Every refusal, retry and failure of the product is one of these; the table in
// Error.cpp maps each to its answer.
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
    QueueFull,
    DeadlineUnreachable,
    WaitExpired,
    NoUpstream,
    UpstreamConnect,
    UpstreamRefused,
    UpstreamsResting,
    UpstreamsLimited,
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

// How a caller sees a kind of error.
struct ErrorTraits {
    ErrorKind kind;
    std::string_view name; // Stable: used on the wire, in metrics labels and in logs.
    unsigned httpStatus;
    Ran ran; // The usual value; an Error may carry a more careful one.
    std::chrono::milliseconds retryAfter; // Zero: repeating the request will not help.
};

std::span<const ErrorTraits> errorTable();
const ErrorTraits& traits(ErrorKind);
std::string_view name(ErrorKind);
std::string_view name(Ran);

// An error as it travels through the product.
struct Error {
    ErrorKind kind { ErrorKind::Internal };
    std::string message;
    Ran ran { Ran::No };
    std::chrono::milliseconds retryAfter { 0 };
};

// Builds an error with the table's values for `ran` and `retryAfter`.
Error makeError(ErrorKind, std::string message);

// The result of an operation that can fail: a value or an Error.
template <typename T> using Result = std::variant<T, Error>;

// The value of operations that only succeed or fail.
struct Done { };
using Status = Result<Done>;

template <typename T> bool isError(const Result<T>& result) { return std::holds_alternative<Error>(result); }
template <typename T> const Error& errorOf(const Result<T>& result) { return std::get<Error>(result); }
template <typename T> T& valueOf(Result<T>& result) { return std::get<T>(result); }
template <typename T> const T& valueOf(const Result<T>& result) { return std::get<T>(result); }

} // namespace Brassladder::Common
