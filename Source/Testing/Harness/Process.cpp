// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Testing/Harness/Process.h"

#include "Common/Settings.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace Brassladder::Testing::Harness {

using namespace std::chrono_literals;

// Timeout for a program to write its ready file.
static constexpr auto readyTimeout = 20s;

Folder::Folder()
{
    auto pattern = (std::filesystem::temp_directory_path() / "brassladder-XXXXXX").string();
    m_path = mkdtemp(pattern.data());
}

Folder::~Folder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

Process::Process(
    const std::string& program, std::vector<std::string> arguments, const std::string& logFile, Logged logged)
{
    std::vector<char*> words;
    std::string path = programFolder() + "/" + program;
    words.push_back(path.data());
    for (auto& argument : arguments)
        words.push_back(argument.data());
    words.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (logged == Logged::Everything)
        posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
    // An inherited listening socket of a fake in this process would stay open in the child and accept connections
    // there.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    // Without this message, a failed start looks like a process that is still starting.
    if (int problem = posix_spawn(&m_pid, path.c_str(), &actions, nullptr, words.data(), environ)) {
        std::cerr << "cannot start " << path << ": " << std::strerror(problem) << "\n";
        m_pid = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
}

Process::Process(Process&& other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
{
}

Process::~Process() { kill(); }

void Process::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

void Process::kill()
{
    if (m_pid <= 0)
        return;
    signal(SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = -1;
}

std::optional<int> Process::wait(std::chrono::milliseconds timeout)
{
    auto until = std::chrono::steady_clock::now() + timeout;
    while (m_pid > 0 && std::chrono::steady_clock::now() < until) {
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        }
        std::this_thread::sleep_for(5ms);
    }
    return std::nullopt;
}

std::string programFolder()
{
    if (const char* folder = std::getenv("BRASSLADDER_BIN"))
        return folder;
    return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

Common::Json awaitReadyFile(const std::string& path)
{
    auto until = std::chrono::steady_clock::now() + readyTimeout;
    while (std::chrono::steady_clock::now() < until) {
        auto json = Common::readJsonFile(path);
        if (!isError(json))
            return valueOf(json);
        std::this_thread::sleep_for(5ms);
    }
    std::cerr << "program did not write its ready file in time: " << path << "\n";
    return {};
}

} // namespace Brassladder::Testing::Harness
