// SPDX-License-Identifier: Apache-2.0
#pragma once

// Stand-ins for the scripts of the second review: the platform's store, plain workers, callers, and the router as a
// separate process. Loopback only, real clock. Needs g++ alone.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using namespace std::chrono_literals;

inline void sleepFor(Milliseconds time) { std::this_thread::sleep_for(time); }

// The record of a run: one line for each thing that was sent, answered or run, with the time since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
        , m_started(Clock::now())
    {
    }
    void line(const std::string& text)
    {
        std::lock_guard lock(m_mutex);
        m_file << since(Clock::now()) << " " << text << "\n";
        m_file.flush();
    }
    int64_t since(TimePoint at) const { return std::chrono::duration_cast<Milliseconds>(at - m_started).count(); }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    TimePoint m_started;
};

// Sockets

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

struct Message {
    std::string start; // The request line or the status line.
    std::vector<std::pair<std::string, std::string>> headers; // Names in lower case.
    std::string body;

    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers) {
            if (key == name)
                return value;
        }
        return {};
    }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const
    {
        auto from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
    int status() const { return std::atoi(start.substr(std::min(start.size(), start.find(' ') + 1)).c_str()); }
};

inline bool writeAll(int fd, const std::string& bytes)
{
    size_t done = 0;
    while (done < bytes.size()) {
        auto sent = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        done += static_cast<size_t>(sent);
    }
    return true;
}

class Connection {
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {
        int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    int fd() const { return m_fd; }
    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
    }
    bool write(const std::string& bytes) { return writeAll(m_fd, bytes); }

    // Reads until the deadline. False: the connection has ended, or the time is over.
    bool more(TimePoint deadline)
    {
        auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
        pollfd state { m_fd, POLLIN, 0 };
        if (left <= 0 || ::poll(&state, 1, static_cast<int>(left)) <= 0)
            return false;
        char buffer[65536];
        auto got = ::recv(m_fd, buffer, sizeof buffer, 0);
        if (got <= 0) {
            m_isReset = got < 0;
            return false;
        }
        m_buffer.append(buffer, static_cast<size_t>(got));
        return true;
    }
    bool isReset() const { return m_isReset; }

    std::optional<Message> readHead(TimePoint deadline)
    {
        size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more(deadline))
                return std::nullopt;
        }
        std::istringstream text(m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        Message message;
        std::string line;
        while (std::getline(text, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            if (message.start.empty()) {
                message.start = line;
                continue;
            }
            auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            message.headers.emplace_back(lower(line.substr(0, colon)), value);
        }
        return message;
    }

    // A whole message. Bodies have a length or come in chunks; an answer without either ends with its connection.
    std::optional<Message> read(TimePoint deadline, bool isAnswer)
    {
        auto message = readHead(deadline);
        if (!message)
            return std::nullopt;
        if (auto length = message->header("content-length"); !length.empty()) {
            auto bytes = static_cast<size_t>(std::atoll(length.c_str()));
            while (m_buffer.size() < bytes) {
                if (!more(deadline))
                    return std::nullopt;
            }
            message->body = m_buffer.substr(0, bytes);
            m_buffer.erase(0, bytes);
            return message;
        }
        if (lower(message->header("transfer-encoding")) == "chunked") {
            while (true) {
                size_t end = 0;
                while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                    if (!more(deadline))
                        return std::nullopt;
                }
                auto bytes = std::strtoul(m_buffer.c_str(), nullptr, 16);
                while (m_buffer.size() < end + 2 + bytes + 2) {
                    if (!more(deadline))
                        return std::nullopt;
                }
                message->body += m_buffer.substr(end + 2, bytes);
                m_buffer.erase(0, end + 2 + bytes + 2);
                if (!bytes)
                    return message;
            }
        }
        if (!isAnswer)
            return message;
        while (more(deadline)) { }
        message->body = std::exchange(m_buffer, {});
        return message;
    }

private:
    int m_fd;
    std::string m_buffer;
    bool m_isReset { false };
};

inline sockaddr_in loopback(uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline std::string endpoint(uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

inline int connectTo(uint16_t port)
{
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(port);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
        return fd;
    ::close(fd);
    return -1;
}

// A port outside of the range that the system gives to outgoing connections, so that a router can take it again after
// a restart.
inline uint16_t freePort()
{
    static std::mt19937 random { static_cast<unsigned>(::getpid()) * 7919U + 17U };
    static std::set<uint16_t> given;
    while (true) {
        auto port = static_cast<uint16_t>(12000 + random() % 18000);
        if (given.contains(port))
            continue;
        int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = loopback(port);
        bool isFree = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(fd);
        if (!isFree)
            continue;
        given.insert(port);
        return port;
    }
}

// Serves each connection on a thread of its own, until `stop` or the end of the process.
class Server {
public:
    using Serve = std::function<void(Connection&)>;
    explicit Server(Serve serve)
        : m_serve(std::move(serve))
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        m_port = freePort();
        auto address = loopback(m_port);
        if (::bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(m_fd, 1024) != 0) {
            std::cerr << "cannot listen\n";
            std::_Exit(2);
        }
        std::thread([this] { accept(); }).detach();
    }
    uint16_t port() const { return m_port; }

    // Refuses new connections and ends the open ones.
    void stop()
    {
        std::lock_guard lock(m_mutex);
        m_isStopped = true;
        ::shutdown(m_fd, SHUT_RDWR);
        for (int fd : m_open)
            ::shutdown(fd, SHUT_RDWR);
    }

private:
    void accept()
    {
        while (true) {
            int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            std::lock_guard lock(m_mutex);
            if (m_isStopped) {
                if (fd >= 0)
                    ::close(fd);
                ::close(m_fd);
                return;
            }
            if (fd < 0)
                continue;
            m_open.insert(fd);
            std::thread([this, fd] {
                Connection connection(fd);
                m_serve(connection);
                std::lock_guard lockThere(m_mutex);
                m_open.erase(fd);
                connection.close();
            }).detach();
        }
    }

    Serve m_serve;
    int m_fd;
    uint16_t m_port;
    std::mutex m_mutex;
    std::set<int> m_open;
    bool m_isStopped { false };
};

inline TimePoint farAway() { return Clock::now() + 1h; }

inline std::string answer(
    int status, const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The platform's store: keyed topics with one partition (PROTOCOL, "The platform's metadata store").

class Store {
public:
    Store()
        : m_server([this](Connection& connection) { serve(connection); })
    {
    }
    uint16_t port() const { return m_server.port(); }

    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        std::lock_guard lock(m_mutex);
        putLocked(m_topics[topic], key, value);
    }

private:
    struct Entry {
        std::string key;
        std::string value;
    };
    struct Newest {
        std::string value;
        uint64_t offset { 0 };
    };
    struct Topic {
        std::vector<Entry> records;
        std::map<std::string, Newest> newest;
    };

    void putLocked(Topic& topic, const std::string& key, const std::string& value)
    {
        if (value.empty())
            topic.newest.erase(key);
        else
            topic.newest[key] = { value, topic.records.size() };
        topic.records.push_back({ key, value });
        m_hasChanged.notify_all();
    }

    static std::string query(const std::string& target, const std::string& name)
    {
        auto at = target.find('?');
        while (at != std::string::npos) {
            auto end = target.find('&', at + 1);
            auto pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (pair.rfind(name + "=", 0) == 0)
                return pair.substr(name.size() + 1);
            at = end;
        }
        return {};
    }
    static std::string bigEndian(uint64_t number, size_t width)
    {
        std::string bytes(width, '\0');
        for (size_t index = width; index > 0; --index, number >>= 8)
            bytes[index - 1] = static_cast<char>(number & 255);
        return bytes;
    }
    static std::string base64(const std::string& bytes)
    {
        static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (size_t at = 0; at < bytes.size(); at += 3) {
            uint32_t group = 0;
            for (size_t index = 0; index < 3; ++index)
                group = group << 8 | (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index]) : 0);
            for (size_t index = 0; index < 4; ++index)
                text += at + index <= bytes.size() ? digits[group >> (18 - 6 * index) & 63] : '=';
        }
        return text;
    }

    std::string append(const Message& call)
    {
        auto& topic = m_topics[query(call.target(), "topic")];
        auto at = query(call.target(), "at");
        if (!at.empty() && std::stoull(at) != topic.records.size())
            return answer(412, { { "Content-Type", "application/json" } },
                "{\"end\":" + std::to_string(topic.records.size()) + "}");
        auto first = topic.records.size();
        auto number = [&](size_t from, size_t width) {
            uint64_t value = 0;
            for (size_t index = 0; index < width; ++index)
                value = value << 8 | static_cast<unsigned char>(call.body[from + index]);
            return value;
        };
        for (size_t from = 0; from + 5 <= call.body.size();) {
            auto length = number(from, 4);
            auto keyLength = number(from + 4, 1);
            putLocked(topic, call.body.substr(from + 5, keyLength),
                call.body.substr(from + 5 + keyLength, length - 1 - keyLength));
            from += 4 + length;
        }
        return answer(200, { { "Content-Type", "application/json" } },
            "{\"offset\":" + std::to_string(first) + ",\"end\":" + std::to_string(topic.records.size()) + "}");
    }

    std::string newest(const Message& call)
    {
        const auto& topic = m_topics[query(call.target(), "topic")];
        std::string items;
        for (const auto& [key, record] : topic.newest)
            items += std::string(items.empty() ? "" : ",") + "{\"PrivateKey\":\"" + key + "\",\"Value\":\""
                + base64(record.value) + "\",\"offset\":" + std::to_string(record.offset) + "}";
        return answer(200, { { "Content-Type", "application/json" } },
            "{\"Items\":[" + items + "],\"more\":false,\"end\":" + std::to_string(topic.records.size()) + "}");
    }

    std::string read(const Message& call, std::unique_lock<std::mutex>& lock)
    {
        auto& topic = m_topics[query(call.target(), "topic")];
        auto from = std::stoull(query(call.target(), "From"));
        auto wait = query(call.target(), "WaitMs");
        m_hasChanged.wait_for(
            lock, Milliseconds(wait.empty() ? 0 : std::stoll(wait)), [&] { return topic.records.size() > from; });
        if (from > topic.records.size())
            return answer(410, { { "Content-Type", "application/json" } }, "{\"first\":0}");
        auto body = bigEndian(topic.records.size(), 8) + bigEndian(0, 8);
        for (auto at = from; at < topic.records.size(); ++at) {
            const auto& record = topic.records[at];
            body += bigEndian(1 + record.key.size() + record.value.size(), 4) + bigEndian(record.key.size(), 1)
                + record.key + record.value;
        }
        return answer(200, { { "Content-Type", "application/octet-stream" } }, body);
    }

    void serve(Connection& connection)
    {
        while (auto call = connection.read(farAway(), false)) {
            sleepFor(4ms); // As the sheets have it.
            std::string text;
            {
                std::unique_lock lock(m_mutex);
                auto path = call->target().substr(0, call->target().find('?'));
                if (path == "/api/log-append")
                    text = append(*call);
                else if (path == "/api/log-newest")
                    text = newest(*call);
                else if (path == "/api/log-read")
                    text = read(*call, lock);
                else
                    text = answer(404, {}, "");
            }
            if (!connection.write(text))
                return;
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_hasChanged;
    std::map<std::string, Topic> m_topics;
    Server m_server; // Last, since it uses the others.
};

// A plain worker: works on `slots` requests at once, queues `queue` more, and refuses the rest as not run.

struct WorkerSettings {
    std::string id;
    std::string service;
    std::string zone;
    unsigned slots { 6 };
    unsigned queue { 24 };
    Milliseconds work { 30 };
};

class Worker {
public:
    // What happens to the request. Called on its thread.
    struct Hooks {
        std::function<void(const Worker&, const Message&)> onArrival = [](const Worker&, const Message&) {};
        std::function<void(const Worker&, const Message&)> onRun = [](const Worker&, const Message&) {};
        // Returns whether the hook has answered, or ended the connection, in place of the worker.
        std::function<bool(const Worker&, const Message&, Connection&)> onAnswer
            = [](const Worker&, const Message&, Connection&) { return false; };
    };

    Worker(WorkerSettings settings, Hooks hooks)
        : m_settings(std::move(settings))
        , m_hooks(std::move(hooks))
        , m_server([this](Connection& connection) { serve(connection); })
    {
    }
    const WorkerSettings& settings() const { return m_settings; }
    uint16_t port() const { return m_server.port(); }

    std::string entry(const std::string& state, uint64_t sequence) const
    {
        return "{\"Service\":\"" + m_settings.service + "\",\"Address\":\"" + endpoint(port()) + "\",\"Zone\":\""
            + m_settings.zone + "\",\"Version\":\"v1\",\"Slots\":" + std::to_string(m_settings.slots) + ",\"State\":\""
            + state + "\",\"ColdRemainingMs\":0,\"Sequence\":" + std::to_string(sequence) + "}";
    }
    // Writes the entry at every heartbeat, until `leave`.
    void keepListed(Store& store, Milliseconds heartbeat = 1200ms)
    {
        std::thread([this, &store, heartbeat] {
            for (uint64_t sequence = 1;; ++sequence) {
                {
                    std::lock_guard lock(m_listing);
                    if (m_isLeaving)
                        return;
                    store.put("keyed.servers", m_settings.id, entry("ready", sequence));
                }
                sleepFor(heartbeat);
            }
        }).detach();
    }
    // A planned end: says `draining`, serves on for `time`, ends, and its entry goes. The object stays.
    void leave(Store& store, Milliseconds time)
    {
        {
            std::lock_guard lock(m_listing);
            m_isLeaving = true;
            store.put("keyed.servers", m_settings.id, entry("draining", 1'000'000));
        }
        std::thread([this, &store, time] {
            sleepFor(time);
            m_server.stop();
            store.put("keyed.servers", m_settings.id, "");
        }).detach();
    }

    // Ends at once and says nothing; the entry goes after `silence`. The object stays.
    void crash(Store& store, Milliseconds silence)
    {
        {
            std::lock_guard lock(m_listing);
            m_isLeaving = true;
        }
        m_server.stop();
        std::thread([this, &store, silence] {
            sleepFor(silence);
            store.put("keyed.servers", m_settings.id, "");
        }).detach();
    }

    std::string wholeAnswer(const Message& request, int status = 200)
    {
        auto load
            = std::to_string(m_running) + "," + std::to_string(m_waiting) + "," + std::to_string(m_settings.slots);
        return answer(status,
            { { "X-Attempt-Id", request.header("x-attempt-id") }, { "X-Response-Seal", m_settings.id },
                { "X-Instance-Id", m_settings.id }, { "X-Server-Load", load } },
            "body of " + request.header("x-attempt-id"));
    }

private:
    void serve(Connection& connection)
    {
        while (auto request = connection.read(farAway(), false)) {
            if (!serveOne(*request, connection))
                return;
        }
    }

    bool serveOne(const Message& request, Connection& connection)
    {
        if (request.target() == "/healthz")
            return connection.write(answer(200, { { "X-Instance-Id", m_settings.id } }, ""));
        if (auto expected = request.header("x-expect-instance"); !expected.empty() && expected != m_settings.id)
            return connection.write(answer(421, { { "X-Instance-Id", m_settings.id } }, ""));
        m_hooks.onArrival(*this, request);
        if (!takeSlot())
            return connection.write(answer(503,
                { { "X-Attempt-Id", request.header("x-attempt-id") }, { "X-Not-Executed", "1" },
                    { "X-Instance-Id", m_settings.id } },
                ""));
        m_hooks.onRun(*this, request);
        sleepFor(m_settings.work);
        releaseSlot();
        if (m_hooks.onAnswer(*this, request, connection))
            return connection.fd() >= 0;
        return connection.write(wholeAnswer(request));
    }

    bool takeSlot()
    {
        std::unique_lock lock(m_mutex);
        if (m_running >= m_settings.slots) {
            if (m_waiting >= m_settings.queue)
                return false;
            ++m_waiting;
            m_hasSlot.wait(lock, [this] { return m_running < m_settings.slots; });
            --m_waiting;
        }
        ++m_running;
        return true;
    }
    void releaseSlot()
    {
        std::lock_guard lock(m_mutex);
        --m_running;
        m_hasSlot.notify_one();
    }

    WorkerSettings m_settings;
    Hooks m_hooks;
    std::mutex m_listing;
    bool m_isLeaving { false };
    std::mutex m_mutex;
    std::condition_variable m_hasSlot;
    std::atomic<unsigned> m_running { 0 };
    std::atomic<unsigned> m_waiting { 0 };
    Server m_server; // Last, since it uses the others.
};

// A router process, started as the deploy file says.

class Router {
public:
    Router(std::string id, std::string zone, uint16_t store, std::string folder)
        : m_id(std::move(id))
        , m_zone(std::move(zone))
        , m_store(store)
        , m_folder(std::move(folder))
        , m_callers(freePort())
        , m_readiness(freePort())
        , m_metrics(freePort())
        , m_inner(freePort())
    {
    }
    ~Router() { kill(); }
    Router(const Router&) = delete;
    Router& operator=(const Router&) = delete;

    uint16_t callers() const { return m_callers; }
    uint16_t readiness() const { return m_readiness; }
    // Open descriptors of the process.
    size_t descriptors() const
    {
        std::error_code error;
        size_t count = 0;
        for (const auto& each : std::filesystem::directory_iterator("/proc/" + std::to_string(m_pid) + "/fd", error))
            count += !each.path().empty();
        return count;
    }
    uint16_t inner() const { return m_inner; }
    pid_t pid() const { return m_pid; }
    const std::string& id() const { return m_id; }

    // As the platform does (DEPLOY.md, "Memory and descriptors").
    void setDescriptorLimit(rlim_t limit) { m_descriptors = limit; }
    void start(const std::vector<uint16_t>& seeds, bool isFirstStart)
    {
        std::string list;
        for (auto seed : seeds)
            list += (list.empty() ? "\"" : ",\"") + endpoint(seed) + "\"";
        auto path = m_folder + "/" + m_id + ".json";
        std::ofstream(path)
            << "{\"id\":\"" << m_id << "\",\"failure_domain\":\"" << m_zone
            << "\",\"regions\":[\"zone-a=south\",\"zone-b=south\"],\"fleet_key\":\"" << endpoint(m_store)
            << "\",\"instance\":{\"descriptors\":4100,\"memory_mb\":260},\"callers\":{\"listen\":\""
            << endpoint(m_callers) << "\"},\"readiness\":{\"listen\":\"" << endpoint(m_readiness)
            << "\"},\"metrics\":{\"listen\":\"" << endpoint(m_metrics) << "\"},\"inner\":{\"listen\":\""
            << endpoint(m_inner) << "\",\"seeds\":[" << list
            << "],\"processor_share\":0.25,\"first_start\":" << (isFirstStart ? "true" : "false")
            << "},\"platform\":{\"store\":\"" << endpoint(m_store)
            << "\"},\"duties\":{\"platform\":[]},\"bounds\":{\"configuration_ms\":2000,\"leaving_ms\":2000,"
               "\"revocation_ms\":5000,\"strict_revocation\":true,\"grace_s\":8,\"retry_ratio\":0.2,"
               "\"retry_window_s\":10,\"retry_allowance\":54}}\n";
        auto log = m_folder + "/" + m_id + ".log";
        m_pid = ::fork();
        if (m_pid)
            return;
        if (m_descriptors) {
            rlimit limit { m_descriptors, m_descriptors };
            ::setrlimit(RLIMIT_NOFILE, &limit);
        }
        int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::setenv("BRASSLADDER_SETTINGS", path.c_str(), 1);
        ::execl("target/bin/brassladder-router", "target/bin/brassladder-router", "--serve=routes", nullptr);
        std::_Exit(127);
    }
    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }
    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
    // Returns the wait status once the process has ended.
    std::optional<int> ended()
    {
        int status = 0;
        if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
            return std::nullopt;
        m_pid = -1;
        return status;
    }
    bool isReady() const
    {
        int fd = connectTo(m_readiness);
        if (fd < 0)
            return false;
        Connection connection(fd);
        connection.write("GET /api/readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n");
        auto reply = connection.read(Clock::now() + 500ms, true);
        return reply && reply->status() == 200;
    }
    bool awaitReady(Milliseconds limit) const
    {
        auto end = Clock::now() + limit;
        while (!isReady()) {
            if (Clock::now() > end)
                return false;
            sleepFor(50ms);
        }
        return true;
    }

private:
    std::string m_id;
    std::string m_zone;
    uint16_t m_store;
    std::string m_folder;
    uint16_t m_callers;
    uint16_t m_readiness;
    uint16_t m_metrics;
    uint16_t m_inner;
    pid_t m_pid { -1 };
    rlim_t m_descriptors { 0 };
};

// Callers

struct CallerAnswer {
    int status { 0 }; // 0: none.
    Message message;
    bool wasSent { false };
};

inline CallerAnswer call(uint16_t port, const std::string& method, const std::string& path, const std::string& id,
    Milliseconds deadline, const std::string& body = {}, const std::string& more = {})
{
    CallerAnswer result;
    int fd = connectTo(port);
    if (fd < 0)
        return result;
    Connection connection(fd);
    auto text = method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: "
        + std::to_string(deadline.count()) + "\r\nAuthorization: Token key-one\r\nConnection: close\r\n" + more;
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    result.wasSent = connection.write(text + "\r\n" + body);
    if (auto reply = connection.read(Clock::now() + deadline + 500ms, true)) {
        result.status = reply->status();
        result.message = std::move(*reply);
    }
    return result;
}

// Whether the disruption is left out.
inline bool isTroubleLeftOut()
{
    const char* trouble = std::getenv("TROUBLE");
    return trouble && std::string(trouble) == "0";
}

// Exit codes of a script.
inline constexpr int held = 0;
inline constexpr int broken = 1;
inline constexpr int notRun = 2;

inline std::string temporaryFolder()
{
    auto name = std::filesystem::temp_directory_path() / "review-2-XXXXXX";
    std::string text = name.string();
    if (!::mkdtemp(text.data()))
        std::_Exit(notRun);
    return text;
}

} // namespace Review
