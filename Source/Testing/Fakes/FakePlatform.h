// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpServer.h"
#include "Common/Precompiled.h"

#include <deque>
#include <map>

namespace Brassladder::Testing::Fakes {

// In-memory version of the platform's append-only log: streams of records with offsets, a retention time, and a limit
// of appends per second.
class FakeLog {
public:
    struct Options {
        Common::Milliseconds retention { 172'800'000 };
        uint32_t appendsPerSecond { 100 };
    };
    explicit FakeLog(Options options)
        : m_options(options)
    {
    }
    void handle(Common::HttpExchange&);

private:
    struct Record {
        uint64_t offset { 0 };
        int64_t timeMs { 0 };
        std::string data;
    };
    struct Stream {
        std::deque<Record> records;
        uint64_t next { 1 };
    };
    struct Faults {
        bool down { false };
        Common::Milliseconds slow { 0 };
        int64_t loseAnswers { 0 }; // Number of next appends that are stored but not answered.
    };

    void append(Common::HttpExchange&, const std::string& stream);
    void read(Common::HttpExchange&, const std::string& stream);
    void setFaults(Common::HttpExchange&);
    bool consumeAppendQuota();
    Common::Json page(Stream&, uint64_t from);

    Options m_options;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_appended;
    std::map<std::string, Stream> m_streams;
    Faults m_faults;
    int64_t m_second { 0 };
    uint32_t m_appendsThisSecond { 0 };
    uint64_t m_appends { 0 };
    uint64_t m_refusedAppends { 0 };
};

// The platform's list of instances: the JSON objects in the files of one folder, reported with a delay of `lag`.
class FakeInstanceList {
public:
    FakeInstanceList(std::string folder, Common::Milliseconds lag)
        : m_folder(std::move(folder))
        , m_lag(lag)
    {
    }
    void handle(Common::HttpExchange&);
    // Reads the folder periodically. Must be called in a dedicated fiber.
    void run();

private:
    struct Snapshot {
        Common::TimePoint at;
        std::string body;
    };
    std::string m_folder;
    std::mutex m_mutex;
    Common::Milliseconds m_lag;
    bool m_down { false };
    std::deque<Snapshot> m_snapshots;
};

} // namespace Brassladder::Testing::Fakes
