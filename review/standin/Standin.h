// Stand-ins for the outside of a small deployment: the platform's store, workers, clients, and the router processes
// under test. Plain POSIX sockets and threads, no dependencies. All addresses are loopback addresses.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using std::chrono::milliseconds;

inline const TimePoint s_started = Clock::now();

inline int64_t sinceStart(TimePoint at = Clock::now())
{
    return std::chrono::duration_cast<milliseconds>(at - s_started).count();
}

inline void sleepMs(int64_t time) { std::this_thread::sleep_for(milliseconds(time)); }

// Whether the case plays its disruption. With TROUBLE=0 it does not.
inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string_view(value) != "0";
}

// record.txt: one line for each thing that was sent, answered, run or done, with the milliseconds since the start.
class Record {
public:
    static Record& get()
    {
        static Record& s_record = *new Record;
        return s_record;
    }
    void open(const std::string& path) { m_file = std::fopen(path.c_str(), "w"); }
    void line(const char* format, ...)
    {
        std::lock_guard lock(m_mutex);
        if (!m_file)
            return;
        std::fprintf(m_file, "%7lld ", static_cast<long long>(sinceStart()));
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE* m_file { nullptr };
};

#define RECORD(...) ::Review::Record::get().line(__VA_ARGS__)

// Sockets

class Socket {
public:
    explicit Socket(int fd = -1)
        : m_fd(fd)
    {
    }
    ~Socket() { close(); }
    Socket(Socket&& other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    {
    }
    Socket& operator=(Socket&& other) noexcept
    {
        close();
        m_fd = std::exchange(other.m_fd, -1);
        return *this;
    }
    int fd() const { return m_fd; }
    bool isOpen() const { return m_fd >= 0; }
    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
    }
    // Closes with a reset, also towards a peer that has read everything.
    void reset()
    {
        linger option { 1, 0 };
        ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        close();
    }
    bool sendAll(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            auto sent = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent < 0 && errno == EINTR)
                continue;
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<size_t>(sent));
        }
        return true;
    }
    // Appends what arrives. Returns the number of bytes, 0 at the end, -1 after a reset or when the time is over.
    ssize_t receive(std::string& buffer, TimePoint until = TimePoint::max()) const
    {
        int wait = -1;
        if (until != TimePoint::max())
            wait = static_cast<int>(
                std::max<int64_t>(0, std::chrono::duration_cast<milliseconds>(until - Clock::now()).count()));
        pollfd event { m_fd, POLLIN, 0 };
        if (::poll(&event, 1, wait) <= 0)
            return -1;
        char bytes[16384];
        auto received = ::recv(m_fd, bytes, sizeof bytes, 0);
        if (received > 0)
            buffer.append(bytes, static_cast<size_t>(received));
        return received;
    }
    // Whether the peer has closed or reset the connection.
    bool isClosedByPeer() const
    {
        char byte = 0;
        auto peeked = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return peeked == 0 || (peeked < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    }

private:
    int m_fd;
};

inline sockaddr_in loopback(uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

inline Socket connectTo(uint16_t port)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    auto address = loopback(port);
    int enabled = 1;
    ::setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    if (::connect(socket.fd(), reinterpret_cast<sockaddr*>(&address), sizeof address))
        return Socket();
    return socket;
}

inline uint16_t portOf(int fd)
{
    sockaddr_in address {};
    socklen_t length = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
}

// Finds ports that are free now, all different, below those that the kernel gives to outgoing connections, so that a
// router that starts again finds its ports free.
inline std::vector<uint16_t> freePorts(size_t count)
{
    constexpr unsigned first = 15'000;
    constexpr unsigned range = 17'000;
    std::vector<Socket> held;
    std::vector<uint16_t> ports;
    auto next = static_cast<unsigned>(::getpid()) * 97;
    for (unsigned tries = 0; ports.size() < count && tries < range; ++tries) {
        Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        auto address = loopback(static_cast<uint16_t>(first + next++ % range));
        if (::bind(socket.fd(), reinterpret_cast<sockaddr*>(&address), sizeof address))
            continue;
        ports.push_back(portOf(socket.fd()));
        held.push_back(std::move(socket));
    }
    if (ports.size() < count)
        std::exit(2);
    return ports;
}

// Accepts connections until the process ends, each in a thread of its own.
class Listener {
public:
    explicit Listener(std::function<void(Socket)> serve)
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
        , m_serve(std::move(serve))
    {
        auto address = loopback(0);
        if (::bind(m_socket.fd(), reinterpret_cast<sockaddr*>(&address), sizeof address)
            || ::listen(m_socket.fd(), 512))
            std::exit(2);
        m_port = portOf(m_socket.fd());
        std::thread([this] { run(); }).detach();
    }
    uint16_t port() const { return m_port; }
    int fd() const { return m_socket.fd(); }
    // Stops listening. Later connections are refused.
    void stop()
    {
        m_isStopped = true;
        ::shutdown(m_socket.fd(), SHUT_RDWR);
    }

private:
    void run()
    {
        while (!m_isStopped) {
            Socket accepted(::accept4(m_socket.fd(), nullptr, nullptr, SOCK_CLOEXEC));
            if (!accepted.isOpen())
                continue;
            int enabled = 1;
            ::setsockopt(accepted.fd(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
            std::thread([this, connection = std::move(accepted)]() mutable {
                m_serve(std::move(connection));
            }).detach();
        }
    }

    Socket m_socket;
    uint16_t m_port { 0 };
    std::function<void(Socket)> m_serve;
    std::atomic<bool> m_isStopped { false };
};

// HTTP

struct Message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool isComplete { false };

    std::string header(std::string_view name) const
    {
        for (const auto& [key, value] : headers) {
            if (key.size() == name.size() && !::strncasecmp(key.data(), name.data(), name.size()))
                return value;
        }
        return {};
    }
    bool has(std::string_view name) const { return !header(name).empty(); }
    std::string word(size_t index) const
    {
        std::istringstream words(startLine);
        std::string word;
        for (size_t position = 0; position <= index; ++position) {
            if (!(words >> word))
                return {};
        }
        return word;
    }
    std::string method() const { return word(0); }
    std::string target() const { return word(1); }
    int status() const { return std::atoi(word(1).c_str()); }
    std::string query(const std::string& name) const
    {
        auto text = target();
        auto start = text.find('?');
        while (start != std::string::npos) {
            auto end = text.find('&', start + 1);
            auto pair = text.substr(start + 1, end == std::string::npos ? end : end - start - 1);
            auto equals = pair.find('=');
            if (pair.substr(0, equals) == name && equals != std::string::npos)
                return pair.substr(equals + 1);
            start = end;
        }
        return {};
    }
};

// Reads the head of a message. `buffer` keeps what follows it.
inline bool readHead(const Socket& socket, std::string& buffer, Message& message, TimePoint until = TimePoint::max())
{
    size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (socket.receive(buffer, until) <= 0)
            return false;
    }
    std::istringstream lines(buffer.substr(0, end));
    buffer.erase(0, end + 4);
    std::string line;
    std::getline(lines, message.startLine);
    if (message.startLine.ends_with('\r'))
        message.startLine.pop_back();
    while (std::getline(lines, line)) {
        if (line.ends_with('\r'))
            line.pop_back();
        auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.headers.emplace_back(line.substr(0, colon), value);
    }
    return true;
}

inline bool readExactly(const Socket& socket, std::string& buffer, size_t bytes, std::string& body, TimePoint until)
{
    while (buffer.size() < bytes) {
        if (socket.receive(buffer, until) <= 0)
            return false;
    }
    body.append(buffer, 0, bytes);
    buffer.erase(0, bytes);
    return true;
}

// Reads the body of a message whose head was read. `onData` is called whenever the body has grown.
inline bool readBody(
    const Socket& socket, std::string& buffer, Message& message, bool isResponse, TimePoint until = TimePoint::max(),
    const std::function<void()>& onData = [] {})
{
    if (::strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0) {
        while (true) {
            size_t lineEnd = 0;
            while ((lineEnd = buffer.find("\r\n")) == std::string::npos) {
                if (socket.receive(buffer, until) <= 0)
                    return false;
            }
            auto size = std::strtoul(buffer.c_str(), nullptr, 16);
            buffer.erase(0, lineEnd + 2);
            if (!readExactly(socket, buffer, size, message.body, until))
                return false;
            std::string lineFeed;
            if (!readExactly(socket, buffer, 2, lineFeed, until))
                return false;
            if (!size)
                return message.isComplete = true;
            onData();
        }
    }
    if (message.has("Content-Length")) {
        auto length = std::strtoull(message.header("Content-Length").c_str(), nullptr, 10);
        if (!readExactly(socket, buffer, length, message.body, until))
            return false;
    } else if (isResponse) {
        ssize_t received = 0;
        message.body += std::exchange(buffer, {});
        while ((received = socket.receive(message.body, until)) > 0)
            onData();
        if (received < 0)
            return false;
    }
    return message.isComplete = true;
}

inline std::string responseText(int status, std::string_view headers, std::string_view body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + std::string(headers)
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

// The platform's store: keyed topics with one partition (PROTOCOL, "The platform's metadata store").
class Store {
public:
    Store()
        : m_listener([this](Socket socket) { serve(std::move(socket)); })
    {
    }
    uint16_t port() const { return m_listener.port(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(port()); }

    // Writes as the operator or a worker does. The return is the acknowledgement.
    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        std::lock_guard lock(m_mutex);
        append(m_topics[topic], std::string(1, static_cast<char>(key.size())) + key + value);
        m_changed.notify_all();
    }
    void remove(const std::string& topic, const std::string& key) { put(topic, key, ""); }

private:
    struct Topic {
        std::vector<std::string> records;
        std::map<std::string, std::pair<std::string, uint64_t>> newest;
    };

    static void append(Topic& topic, const std::string& record)
    {
        auto keyBytes = static_cast<unsigned char>(record[0]);
        auto key = record.substr(1, keyBytes);
        auto value = record.substr(1 + keyBytes);
        if (value.empty())
            topic.newest.erase(key);
        else
            topic.newest[key] = { value, topic.records.size() };
        topic.records.push_back(record);
    }

    static std::string bigEndian(uint64_t number, size_t width)
    {
        std::string bytes(width, '\0');
        for (size_t index = width; index > 0; --index, number >>= 8)
            bytes[index - 1] = static_cast<char>(number & 0xff);
        return bytes;
    }

    static std::string base64(const std::string& text)
    {
        static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string encoded;
        for (size_t index = 0; index < text.size(); index += 3) {
            auto byte = [&](size_t offset) {
                return index + offset < text.size() ? static_cast<unsigned char>(text[index + offset]) : 0U;
            };
            unsigned group = byte(0) << 16 | byte(1) << 8 | byte(2);
            encoded += digits[group >> 18];
            encoded += digits[group >> 12 & 63];
            encoded += index + 1 < text.size() ? digits[group >> 6 & 63] : '=';
            encoded += index + 2 < text.size() ? digits[group & 63] : '=';
        }
        return encoded;
    }

    std::string handle(const Message& request)
    {
        auto path = request.target().substr(0, request.target().find('?'));
        auto name = request.query("topic");
        std::unique_lock lock(m_mutex);
        auto& topic = m_topics[name];
        if (path == "/api/log-append") {
            auto at = request.query("at");
            auto end = [&] { return std::to_string(topic.records.size()); };
            if (!at.empty() && at != end())
                return responseText(412, "", "{\"end\":" + end() + "}");
            auto offset = end();
            for (size_t position = 0; position + 4 <= request.body.size();) {
                uint32_t length = 0;
                for (size_t index = 0; index < 4; ++index)
                    length = length << 8 | static_cast<unsigned char>(request.body[position + index]);
                append(topic, request.body.substr(position + 4, length));
                position += 4 + length;
            }
            m_changed.notify_all();
            return responseText(200, "", "{\"offset\":" + offset + ",\"end\":" + end() + "}");
        }
        if (path == "/api/log-newest") {
            std::string items;
            for (const auto& [key, entry] : topic.newest)
                items += (items.empty() ? "" : ",") + ("{\"PrivateKey\":\"" + key + "\",\"Value\":\"")
                    + base64(entry.first) + "\",\"offset\":" + std::to_string(entry.second) + "}";
            return responseText(200, "Content-Type: application/json\r\n",
                "{\"Items\":[" + items + "],\"more\":false,\"end\":" + std::to_string(topic.records.size()) + "}");
        }
        if (path == "/api/log-read") {
            auto from = std::strtoull(request.query("From").c_str(), nullptr, 10);
            auto wait = std::strtoll(request.query("WaitMs").c_str(), nullptr, 10);
            m_changed.wait_for(lock, milliseconds(wait), [&] { return m_topics[name].records.size() > from; });
            const auto& records = m_topics[name].records;
            auto body = bigEndian(records.size(), 8) + bigEndian(0, 8);
            for (size_t offset = from; offset < records.size(); ++offset)
                body += bigEndian(records[offset].size(), 4) + records[offset];
            return responseText(200, "Content-Type: application/octet-stream\r\n", body);
        }
        return responseText(404, "", "");
    }

    void serve(Socket socket)
    {
        std::string buffer;
        while (true) {
            Message request;
            if (!readHead(socket, buffer, request) || !readBody(socket, buffer, request, false))
                return;
            if (!socket.sendAll(handle(request)))
                return;
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Topic> m_topics;
    Listener m_listener;
};

// A worker. The case's handler gets each request that the worker accepts.
class Worker {
public:
    using Handler = std::function<bool(Worker&, Socket&, const Message&)>; // Returns whether to keep the connection.

    Worker(std::string id, std::string service, std::string zone, unsigned slots, Handler handler)
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_slots(slots)
        , m_handler(std::move(handler))
        , m_listener([this](Socket socket) { serve(std::move(socket)); })
    {
    }
    const std::string& id() const { return m_id; }
    const std::string& zone() const { return m_zone; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_listener.port()); }
    uint16_t port() const { return m_listener.port(); }
    int listenerFd() const { return m_listener.fd(); }
    std::string seal(const std::string& requestId) const { return m_id + "." + requestId; }

    // Writes the worker's entry to the store.
    void announce(Store& store, const std::string& state = "ready")
    {
        store.put("keyed.servers", m_id,
            "{\"Service\":\"" + m_service + "\",\"Address\":\"" + address() + "\",\"Zone\":\"" + m_zone
                + "\",\"Version\":\"v1\",\"Slots\":" + std::to_string(m_slots) + ",\"State\":\"" + state
                + "\",\"ColdRemainingMs\":0,\"Stage\":\"both\",\"Models\":[{\"Name\":\"m\",\"Version\":1,"
                  "\"Adapters\":[]}],\"Sequence\":"
                + std::to_string(++m_sequence) + "}");
    }

    // Ends the worker: its address refuses connections, and the open ones are closed.
    void end()
    {
        m_listener.stop();
        std::lock_guard lock(m_mutex);
        for (int fd : m_open)
            ::shutdown(fd, SHUT_RDWR);
    }
    size_t openConnections() const
    {
        std::lock_guard lock(m_mutex);
        return m_open.size();
    }

private:
    void serve(Socket socket)
    {
        {
            std::lock_guard lock(m_mutex);
            m_open.insert(socket.fd());
        }
        serveRequests(socket);
        std::lock_guard lock(m_mutex);
        m_open.erase(socket.fd());
        socket.close();
    }

    void serveRequests(Socket& socket)
    {
        std::string buffer;
        while (true) {
            Message request;
            if (!readHead(socket, buffer, request) || !readBody(socket, buffer, request, false))
                return;
            if (!answer(socket, request))
                return;
        }
    }

    bool answer(Socket& socket, const Message& request)
    {
        auto path = request.target();
        if (path == "/healthz")
            return socket.sendAll(responseText(200, "X-Instance-Id: " + m_id + "\r\n", ""));
        if (path == "/api/report")
            return socket.sendAll(responseText(200, "Content-Type: application/json\r\n",
                "{\"Stage\":\"both\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],\"Utilization\":false,"
                "\"Sequence\":1,\"Queued\":0,\"Active\":0,\"KvUsed\":0,\"KvTotal\":400000,\"KvHandles\":0}"));
        if (!request.has("X-Attempt-Id"))
            return socket.sendAll(responseText(400, "X-Not-Executed: 1\r\n", ""));
        auto expected = request.header("X-Expect-Instance");
        if (!expected.empty() && expected != m_id)
            return socket.sendAll(responseText(
                421, "X-Attempt-Id: " + request.header("X-Attempt-Id") + "\r\nX-Instance-Id: " + m_id + "\r\n", ""));
        return m_handler(*this, socket, request);
    }

    std::string m_id;
    std::string m_service;
    std::string m_zone;
    unsigned m_slots;
    Handler m_handler;
    std::atomic<unsigned> m_sequence { 0 };
    mutable std::mutex m_mutex;
    std::set<int> m_open; // Descriptors of open connections.
    Listener m_listener;
};

// One router process, started with the command of the deploy file.
class Router {
public:
    struct Options {
        std::string zone;
        std::string regions; // As the deploy file's template fills them in.
        std::string bounds;
        std::string extra {}; // Further groups of settings, each with a comma in front.
    };

    Router(std::string id, const std::string& folder, const std::string& repository, const std::vector<uint16_t>& ports)
        : m_id(std::move(id))
        , m_folder(folder)
        , m_repository(repository)
        , m_ports(ports)
    {
    }
    static constexpr size_t portsNeeded = 4;
    uint16_t frontPort() const { return m_ports[0]; }
    uint16_t readyPort() const { return m_ports[1]; }
    uint16_t metricsPort() const { return m_ports[2]; }
    uint16_t controlPort() const { return m_ports[3]; }
    const std::string& id() const { return m_id; }
    pid_t pid() const { return m_pid; }

    void writeSettings(
        const Store& store, const std::vector<uint16_t>& seeds, bool isFirstStart, const Options& options)
    {
        auto listen = [](uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
        std::string seedList;
        for (auto seed : seeds)
            seedList += (seedList.empty() ? "" : ",") + listen(seed);
        std::ofstream(settingsPath()) << "{\"id\":\"" << m_id << "\",\"failure_domain\":\"" << options.zone
                                      << "\",\"regions\":[" << options.regions << "],\"fleet_key\":\""
                                      << store.address() << "\",\"callers\":{\"listen\":" << listen(frontPort())
                                      << "},\"readiness\":{\"listen\":" << listen(readyPort())
                                      << "},\"metrics\":{\"listen\":" << listen(metricsPort())
                                      << "},\"inner\":{\"listen\":" << listen(controlPort()) << ",\"seeds\":["
                                      << seedList << "],\"processor_share\":0.25,\"first_start\":"
                                      << (isFirstStart ? "true" : "false") << "},\"platform\":{\"store\":\""
                                      << store.address() << "\"},\"bounds\":{" << options.bounds << "}" << options.extra
                                      << "}\n";
    }

    // Descriptors that the process may have, as `MaxFds` of its machine states; 0: as many as this process.
    void setMaxDescriptors(unsigned count) { m_maxDescriptors = count; }
    // Descriptors that the process has now.
    size_t descriptors() const
    {
        size_t count = 0;
        std::error_code ignored;
        for (const auto& entry : std::filesystem::directory_iterator("/proc/" + std::to_string(m_pid) + "/fd", ignored))
            count += entry.exists(ignored) || entry.is_symlink(ignored);
        return count;
    }

    void start()
    {
        m_pid = ::fork();
        if (m_pid)
            return;
        if (m_maxDescriptors) {
            rlimit limit { m_maxDescriptors, m_maxDescriptors };
            ::setrlimit(RLIMIT_NOFILE, &limit);
        }
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::setenv("BRASSLADDER_SETTINGS", settingsPath().c_str(), 1);
        int log = ::open((m_folder + "/" + m_id + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        if (::chdir(m_repository.c_str()))
            ::_exit(127);
        ::execl("target/bin/brassladder-router", "target/bin/brassladder-router", "--serve=routes", nullptr);
        ::_exit(127);
    }
    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }
    // Waits until the process has ended, for `limit` milliseconds at most. Returns whether it has.
    bool awaitEnd(int64_t limit)
    {
        auto until = Clock::now() + milliseconds(limit);
        while (m_pid > 0) {
            int status = 0;
            if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
                m_pid = -1;
                return true;
            }
            if (Clock::now() >= until)
                return false;
            sleepMs(2);
        }
        return true;
    }
    void kill()
    {
        signal(SIGCONT);
        signal(SIGKILL);
        awaitEnd(5000);
    }
    bool isReady() const
    {
        auto socket = connectTo(readyPort());
        if (!socket.isOpen() || !socket.sendAll("GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"))
            return false;
        std::string buffer;
        Message answer;
        return readHead(socket, buffer, answer, Clock::now() + milliseconds(500)) && answer.status() == 200;
    }
    bool awaitReady(int64_t limit) const
    {
        auto until = Clock::now() + milliseconds(limit);
        while (!isReady()) {
            if (Clock::now() >= until)
                return false;
            sleepMs(20);
        }
        return true;
    }

private:
    std::string settingsPath() const { return m_folder + "/" + m_id + ".json"; }

    std::string m_id;
    std::string m_folder;
    std::string m_repository;
    std::vector<uint16_t> m_ports;
    unsigned m_maxDescriptors { 0 };
    pid_t m_pid { -1 };
};

// Clients

struct Answer {
    int status { 0 }; // 0: no answer.
    bool isComplete { false };
    Message message;
};

// Sends a request on a connection of its own and reads the answer.
inline Answer ask(
    uint16_t port, const std::string& request, int64_t limit,
    const std::function<void(const Message&)>& onData = [](const Message&) {})
{
    Answer answer;
    auto until = Clock::now() + milliseconds(limit);
    auto socket = connectTo(port);
    if (!socket.isOpen() || !socket.sendAll(request))
        return answer;
    std::string buffer;
    if (!readHead(socket, buffer, answer.message, until))
        return answer;
    answer.status = answer.message.status();
    answer.isComplete = readBody(socket, buffer, answer.message, true, until, [&] { onData(answer.message); });
    return answer;
}

// The folder of the case, the root of the repository and a temporary folder that is removed at the end.
struct Place {
    std::string caseFolder;
    std::string repository;
    std::string temporary;

    static Place make(int argumentCount, char** arguments)
    {
        if (argumentCount < 4)
            std::exit(2);
        return { arguments[1], arguments[2], arguments[3] };
    }
};

// Ends with 2: the case could not run.
[[noreturn]] inline void giveUp(const char* why)
{
    RECORD("could not run: %s", why);
    std::fprintf(stderr, "could not run: %s\n", why);
    std::_Exit(2);
}

} // namespace Review

namespace Review {

// The routers of a small deployment, each a process.
class Fleet {
public:
    Fleet(const Place& place, Store& store, const std::vector<std::string>& zones, const std::string& regions,
        const std::string& bounds)
        : m_store(store)
        , m_regions(regions)
        , m_bounds(bounds)
    {
        auto ports = freePorts(zones.size() * Router::portsNeeded);
        for (size_t index = 0; index < zones.size(); ++index) {
            auto first = ports.begin() + static_cast<ptrdiff_t>(index * Router::portsNeeded);
            m_routers.push_back(std::make_unique<Router>("edge-" + zones[index] + "-" + std::to_string(index + 1),
                place.temporary, place.repository,
                std::vector<uint16_t>(first, first + static_cast<ptrdiff_t>(Router::portsNeeded))));
        }
        m_zones = zones;
        writeSettings(true);
    }
    Router& operator[](size_t index) { return *m_routers[index]; }
    size_t size() const { return m_routers.size(); }

    // Settings of the first start of all machines, or of later starts.
    void writeSettings(bool isFirstStart)
    {
        std::vector<uint16_t> seeds;
        for (size_t index = 0; index < std::min<size_t>(3, m_routers.size()); ++index)
            seeds.push_back(m_routers[index]->controlPort());
        for (size_t index = 0; index < m_routers.size(); ++index)
            m_routers[index]->writeSettings(m_store, seeds, isFirstStart, { m_zones[index], m_regions, m_bounds });
    }
    void start()
    {
        for (auto& router : m_routers)
            router->start();
        for (auto& router : m_routers) {
            if (!router->awaitReady(20'000))
                giveUp("a router did not become ready");
        }
        RECORD("%zu routers are ready", m_routers.size());
    }

private:
    Store& m_store;
    std::string m_regions;
    std::string m_bounds;
    std::vector<std::string> m_zones;
    std::vector<std::unique_ptr<Router>> m_routers;
};

// Ends the routers and this process. The stand-ins are not destroyed, because their threads still use them.
[[noreturn]] inline void finish(Fleet& fleet, int code)
{
    for (size_t index = 0; index < fleet.size(); ++index)
        fleet[index].kill();
    std::fflush(nullptr);
    std::_Exit(code);
}

} // namespace Review
