// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string_view>

namespace Brassladder::RouteServing::Routing {

// What is known about one try of a request at one upstream. It alone decides what may follow: only `NotSent` and
// `Refused` allow another upstream for a request that must not run twice, or an answer that promises it did not run.
enum class Fate : uint8_t {
    NotSent, // No byte of the request can have reached the upstream.
    Refused, // The upstream itself said that it did not run it.
    MaybeRan, // Sent, and no answer that tells.
    Ran, // Answered.
};

std::string_view name(Fate);

} // namespace Brassladder::RouteServing::Routing
