// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"
#include "Common/Error.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

// Interfaces to the platform's services that class serving depends on. They are structs of functions, which tests can
// replace.
namespace Brassladder::ClassServing::BackingServices {

struct LogRecord {
    uint64_t offset { 0 }; // Starts at 1 and increases by one per record of the stream.
    int64_t timeMs { 0 }; // When the log stored the record, in ms of the log's clock.
    std::string data;
};

struct LogPage {
    std::vector<LogRecord> records;
    uint64_t firstOffset { 1 }; // Oldest retained offset.
    uint64_t nextOffset { 1 }; // Offset of the next record to be appended.
    int64_t nowMs { 0 }; // Current time of the log's clock.
    int64_t retentionMs { 0 };
};

// The platform's append-only log. An append that fails with `Ran::Maybe` may have been stored; the writer has to read
// the stream to find out. The log drops records after its retention time.
struct LogService {
    // Returns the offset of the new record, or PlatformUnavailable.
    std::function<Common::Result<uint64_t>(std::string_view stream, std::string_view data)> append;
    // Returns the records from offset `from` on. If there are none, waits up to `wait` for one. Returns
    // PlatformUnavailable on failure.
    std::function<Common::Result<LogPage>(std::string_view stream, uint64_t from, Common::Milliseconds wait)> read;
};

// Names of the router's streams.
inline constexpr std::string_view configStream = "config";
std::string claimStream(uint32_t partition);

// Accesses the log over HTTP: POST /streams/NAME/records, GET /streams/NAME/records?from=N&wait_ms=N.
LogService httpLogService(const Common::Endpoint&);

} // namespace Brassladder::ClassServing::BackingServices
