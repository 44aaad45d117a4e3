// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"
#include "Common/Error.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

// The platform's services that class serving relies on, as sets of functions, so that a test can replace them.
namespace Brassladder::ClassServing::BackingServices {

struct LogRecord {
    uint64_t offset { 0 }; // From 1, rising by one with each record of the stream.
    int64_t timeMs { 0 }; // The log's clock when it took the record.
    std::string data;
};

struct LogPage {
    std::vector<LogRecord> records;
    uint64_t first { 1 }; // The oldest offset that is still kept.
    uint64_t next { 1 }; // The offset that the next record will get.
    int64_t nowMs { 0 }; // The log's clock.
    int64_t retentionMs { 0 };
};

// The platform's append-only log. An append that fails with `Ran::Maybe` may have taken effect: only reading the
// stream tells. Records are kept for a limited time.
struct LogService {
    // The offset of the record; PlatformUnavailable.
    std::function<Common::Result<uint64_t>(std::string_view stream, std::string_view data)> append;
    // Records from an offset on; waits up to `wait` for one when there is none yet. PlatformUnavailable.
    std::function<Common::Result<LogPage>(std::string_view stream, uint64_t from, Common::Milliseconds wait)> read;
};

// Streams of the product.
inline constexpr std::string_view configStream = "config";
std::string claimStream(uint32_t partition);

// The log service over HTTP: POST /streams/NAME/records, GET /streams/NAME/records?from=N&wait_ms=N.
LogService httpLogService(const Common::Endpoint&);

} // namespace Brassladder::ClassServing::BackingServices
