// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Json.h"

#include <string>
#include <sys/types.h>
#include <vector>

// Starts programs as processes on loopback, for tests, experiments and the demo. Not part of the product.
namespace Brassladder::Testing::Harness {

// A temporary folder. The destructor removes it.
class Folder {
public:
    Folder();
    ~Folder();
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

// A child process. The destructor kills it.
class Process {
public:
    // Output that is written to the log file: standard error only, or standard output as well.
    enum class Logged { Errors, Everything };
    Process(const std::string& program, std::vector<std::string> arguments, const std::string& logFile,
        Logged = Logged::Errors);
    ~Process();
    Process(Process&&) noexcept;
    Process& operator=(Process&&) = delete;

    void signal(int number) const;
    void kill(); // Sends SIGKILL and waits for the exit.
    void freeze() const { signal(SIGSTOP); }
    void thaw() const { signal(SIGCONT); }
    // Waits for the process to exit. Returns its exit code, or nullopt if it still runs after the timeout.
    std::optional<int> wait(std::chrono::milliseconds);
    bool isRunning() const { return m_pid > 0; }
    pid_t pid() const { return m_pid; }

private:
    pid_t m_pid { -1 };
};

// Returns the folder of the programs: BRASSLADDER_BIN if set, else the folder of the calling program.
std::string programFolder();

// Waits until a program has written its ready file. Returns its content, or null after the timeout.
Common::Json awaitReadyFile(const std::string& path);

} // namespace Brassladder::Testing::Harness
