// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Testing/Harness/MemoryWatch.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>

namespace Brassladder::Testing::Harness {

using namespace std::chrono_literals;

static constexpr auto pollInterval = 2ms;
static constexpr size_t bytesPerKilobyte = 1024;

MemoryWatch::MemoryWatch(pid_t pid, size_t limitBytes)
    : m_pid(pid)
    , m_thread([this, limitBytes] { run(limitBytes); })
{
}

MemoryWatch::~MemoryWatch()
{
    m_stopping = true;
    m_thread.join();
}

size_t MemoryWatch::statusLine(std::string_view name) const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(name))
            return std::stoull(line.substr(name.size())) * bytesPerKilobyte;
    }
    return 0;
}

void MemoryWatch::run(size_t limitBytes)
{
    while (!m_stopping) {
        if (residentBytes() > limitBytes) {
            m_isExceeded = true;
            ::kill(m_pid, SIGKILL);
            return;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

size_t MemoryWatch::openDescriptors() const
{
    std::error_code ignored;
    std::filesystem::directory_iterator entries("/proc/" + std::to_string(m_pid) + "/fd", ignored);
    return static_cast<size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace Brassladder::Testing::Harness
