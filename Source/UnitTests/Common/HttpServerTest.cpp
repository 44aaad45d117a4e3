// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/HttpClient.h"
#include "Common/HttpServer.h"
#include "Common/Metrics.h"
#include "UnitTests/TestRuntime.h"

#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace Brassladder::Common {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

// A test fails if the server has not closed the connection by then.
constexpr auto readTimeout = 10s;

// Starts a server that echoes the request body.
uint16_t startServer(const HttpLimits& limits)
{
    auto server = HttpServer::Builder(testRuntime())
                      .limits(limits)
                      .handler([](HttpExchange& exchange) {
                          exchange.respond({ 200, exchange.request().body(), "text/plain", {} });
                      })
                      .build();
    return valueOf(server)->port();
}

// A client that writes raw bytes.
class RawCaller {
public:
    explicit RawCaller(uint16_t port) { m_socket.connect({ boost::asio::ip::address_v4::loopback(), port }); }

    // Returns false if the server has closed the connection.
    bool write(std::string_view bytes)
    {
        boost::system::error_code error;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), error);
        return !error;
    }
    // Reads until the server closes the connection. Returns nullopt if it does not.
    std::optional<std::string> readToEnd()
    {
        auto text = std::async(std::launch::async, [this] {
            std::string received;
            boost::system::error_code error;
            boost::asio::read(m_socket, boost::asio::dynamic_buffer(received), error);
            return received;
        });
        bool hasEnded = text.wait_for(readTimeout) == std::future_status::ready;
        boost::system::error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_both, ignored);
        return hasEnded ? std::optional(text.get()) : std::nullopt;
    }

private:
    boost::asio::io_context m_io;
    tcp::socket m_socket { m_io };
};

std::string post(size_t bodyBytes)
{
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

} // namespace

TEST(HttpServerTest, ARequestMayArriveInPieces)
{
    RawCaller caller(startServer({}));
    std::string body(30'000, 'b');
    auto request = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 30000\r\n\r\n" + body;
    for (size_t start = 0; start < request.size(); start += 7'000) {
        ASSERT_TRUE(caller.write(std::string_view(request).substr(start, 7'000)));
        std::this_thread::sleep_for(2ms);
    }
    auto response = caller.readToEnd();
    ASSERT_TRUE(response);
    EXPECT_TRUE(response->ends_with("\r\n\r\n" + body));
}

TEST(HttpServerTest, PipelinedRequestsAreAnsweredInOrder)
{
    RawCaller caller(startServer({}));
    ASSERT_TRUE(caller.write(post(3) + "one" + post(3) + "two"
        + "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 5\r\n\r\nthree"));
    auto response = caller.readToEnd();
    ASSERT_TRUE(response);
    auto one = response->find("\r\n\r\none");
    auto two = response->find("\r\n\r\ntwo");
    EXPECT_NE(one, std::string::npos);
    EXPECT_NE(two, std::string::npos);
    EXPECT_LT(one, two);
    EXPECT_TRUE(response->ends_with("\r\n\r\nthree"));
}

TEST(HttpServerTest, InvalidRequestsAreRejectedWithMatchingStatus)
{
    HttpLimits limits;
    limits.headerBytes = 2'000;
    limits.bodyBytes = 100;
    limits.receiveTimeout = 30ms;
    auto port = startServer(limits);
    struct Case {
        std::string request;
        std::string_view status;
    };
    for (const auto& [request, status] : std::vector<Case> {
             { post(101), "413" },
             { "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(3'000, 'x') + "\r\n\r\n", "431" },
             { "no request at all\r\n\r\n", "400" },
             { "GET / HTTP/1.1\r\nHost: h\r\n", "408" }, // The rest never arrives.
             { post(50) + "and then nothing", "408" },
         }) {
        RawCaller caller(port);
        ASSERT_TRUE(caller.write(request));
        auto response = caller.readToEnd();
        ASSERT_TRUE(response) << request;
        EXPECT_TRUE(response->starts_with("HTTP/1.1 " + std::string(status))) << request << *response;
    }
}

// The receive timeout must also apply when no read is pending that the timer can cancel.
TEST(HttpServerTest, ReceiveTimeoutAppliesWhileBytesArrive)
{
    HttpLimits limits;
    limits.bodyBytes = size_t { 1 } << 30;
    limits.receiveTimeout = 30ms;
    RawCaller caller(startServer(limits));
    ASSERT_TRUE(caller.write(post(900'000'000)));
    std::string piece(1 << 20, 'x');
    auto sendUntil = std::chrono::steady_clock::now() + 5 * limits.receiveTimeout;
    bool isOpen = true;
    for (int pieces = 0; isOpen && pieces < 800 && std::chrono::steady_clock::now() < sendUntil; ++pieces)
        isOpen = caller.write(piece);
    EXPECT_TRUE(!isOpen || caller.readToEnd()) << "the server keeps the connection open without a limit";
}

// Starts a server that streams the body in one piece, and then ends or abandons its response.
static uint16_t startStreamingServer(BodyFraming framing, bool endsResponse)
{
    auto server = HttpServer::Builder(testRuntime())
                      .handler([=](HttpExchange& exchange) {
                          exchange.beginStream({ 200, {}, "text/plain", {} }, framing);
                          exchange.write("piece");
                          if (endsResponse)
                              exchange.endStream();
                          else
                              exchange.abandon();
                      })
                      .build();
    return valueOf(server)->port();
}

static Result<HttpClientResponse> callServer(uint16_t port)
{
    HttpClientRequest request;
    request.target = "/";
    return testRuntime().call([&] { return callOnce({ "127.0.0.1", port }, request); });
}

TEST(HttpServerTest, AResponseThatEndsWithItsConnectionIsReceivedWhole)
{
    auto response = callServer(startStreamingServer(BodyFraming::UntilClose, true));
    ASSERT_FALSE(isError(response));
    EXPECT_EQ(valueOf(response).framing, BodyFraming::UntilClose);
    EXPECT_EQ(valueOf(response).body, "piece");
}

TEST(HttpServerTest, AnAbandonedResponseIsNeverReceivedAsComplete)
{
    for (auto framing : { BodyFraming::Chunked, BodyFraming::UntilClose })
        EXPECT_TRUE(isError(callServer(startStreamingServer(framing, false)))) << name(framing);
}

// Callers of HTTP/1.0 cannot read chunks.
TEST(HttpServerTest, ACallerOfHttp10ReceivesNoChunks)
{
    RawCaller caller(startStreamingServer(BodyFraming::Chunked, true));
    ASSERT_TRUE(caller.write("GET / HTTP/1.0\r\nHost: h\r\n\r\n"));
    auto response = caller.readToEnd();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->find("Transfer-Encoding"), std::string::npos);
    EXPECT_TRUE(response->ends_with("\r\n\r\npiece"));
}

// The parser allocates each field by itself, so many short fields cost far more than their text.
TEST(HttpServerTest, ARequestMayHaveALimitedNumberOfFields)
{
    auto requestWith = [](size_t fields, const std::string& trailers) {
        std::string request = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n";
        for (size_t field = 0; field < fields; ++field)
            request += "a:\r\n";
        return request + "\r\n4\r\nbody\r\n0\r\n" + trailers + "\r\n";
    };
    std::string manyTrailers;
    while (manyTrailers.size() < 8'000)
        manyTrailers += "a:\r\n";
    for (const auto& [request, status] : std::vector<std::pair<std::string, std::string_view>> {
             { requestWith(200, ""), "200" }, { requestWith(3'000, ""), "431" }, { requestWith(0, "a: b\r\n"), "200" },
             { requestWith(0, manyTrailers), "431" } }) {
        RawCaller caller(startServer({}));
        ASSERT_TRUE(caller.write(request));
        auto response = caller.readToEnd();
        ASSERT_TRUE(response);
        EXPECT_TRUE(response->starts_with("HTTP/1.1 " + std::string(status))) << *response;
    }
}

// The same head, a byte at a time.
TEST(HttpServerTest, FieldsAreCountedAcrossReads)
{
    RawCaller caller(startServer({}));
    std::string request = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody";
    for (char byte : request) {
        ASSERT_TRUE(caller.write(std::string_view(&byte, 1)));
        std::this_thread::sleep_for(100us);
    }
    auto response = caller.readToEnd();
    ASSERT_TRUE(response);
    EXPECT_TRUE(response->starts_with("HTTP/1.1 200")) << *response;
}

TEST(HttpServerTest, AChunkWithoutEndOfItsHeadIsRejected)
{
    RawCaller caller(startServer({}));
    ASSERT_TRUE(caller.write("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;"));
    std::string extension(1 << 12, 'e');
    for (int piece = 0; piece < 10; ++piece)
        caller.write(extension);
    auto response = caller.readToEnd();
    ASSERT_TRUE(response);
    EXPECT_TRUE(response->starts_with("HTTP/1.1 431")) << *response;
}

// A caller that sends its whole body before it reads must still receive the refusal.
TEST(HttpServerTest, ARefusalIsReadByACallerThatStillSends)
{
    RawCaller caller(startServer({}));
    ASSERT_TRUE(caller.write(post(2 << 20)));
    std::string body(100'000, 'b');
    caller.write(body);
    std::this_thread::sleep_for(20ms);
    caller.write(body);
    auto response = caller.readToEnd();
    ASSERT_TRUE(response);
    EXPECT_TRUE(response->starts_with("HTTP/1.1 413")) << *response;
}

// A body that would be refused anyway costs no memory.
TEST(HttpServerTest, ALargeBodyIsNotReadIfItsHeadIsRefused)
{
    std::atomic<bool> isBodyMissing { false };
    auto server = HttpServer::Builder(testRuntime())
                      .wantsBody([](const HttpRequest& head) { return head.target() != "/refused"; })
                      .handler([&](HttpExchange& exchange) {
                          isBodyMissing = exchange.isBodyMissing();
                          exchange.respond({ isBodyMissing ? 404U : 200U, "", "text/plain", {} });
                      })
                      .build();
    for (const auto& [path, bytes, status] : std::vector<std::tuple<std::string, size_t, std::string_view>> {
             { "/refused", 100'000, "404" }, { "/refused", 100, "200" }, { "/taken", 100'000, "200" } }) {
        RawCaller caller(valueOf(server)->port());
        ASSERT_TRUE(caller.write("POST " + path
            + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n"));
        caller.write(std::string(bytes, 'b'));
        auto response = caller.readToEnd();
        ASSERT_TRUE(response);
        EXPECT_TRUE(response->starts_with("HTTP/1.1 " + std::string(status))) << path << *response;
    }
}

// Bytes of the next request must not hide that the caller has gone.
TEST(HttpServerTest, ACallerThatSentAheadAndLeavesIsNoticed)
{
    std::atomic<bool> isWatched { false };
    std::atomic<bool> isGone { false };
    auto server = HttpServer::Builder(testRuntime())
                      .handler([&](HttpExchange& exchange) {
                          exchange.watchCaller([&] { isGone = true; });
                          isWatched = true;
                          for (auto end = now() + readTimeout; !isGone && now() < end;)
                              sleepFor(5ms);
                          exchange.abandon();
                      })
                      .build();
    {
        RawCaller caller(valueOf(server)->port());
        ASSERT_TRUE(caller.write(post(3) + "one" + post(3) + "two"));
        while (!isWatched)
            std::this_thread::sleep_for(1ms);
        // The watch has seen the second request by now.
        std::this_thread::sleep_for(50ms);
        EXPECT_FALSE(isGone);
    }
    for (auto end = now() + readTimeout; !isGone && now() < end;)
        std::this_thread::sleep_for(1ms);
    EXPECT_TRUE(isGone);
}

// The bytes of a body would be taken for the next response.
TEST(HttpServerTest, AResponseToHeadHasNoBody)
{
    for (auto port : { startServer({}), startStreamingServer(BodyFraming::Chunked, true) }) {
        RawCaller caller(port);
        ASSERT_TRUE(caller.write("HEAD / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"));
        auto response = caller.readToEnd();
        ASSERT_TRUE(response);
        EXPECT_TRUE(response->ends_with("\r\n\r\n")) << *response;
        EXPECT_EQ(response->find("\r\n\r\n"), response->size() - 4) << *response;
    }
}

// Returns the status line of the response, or an empty string.
static std::string statusLineOf(uint16_t port, const std::string& request)
{
    RawCaller caller(port);
    caller.write(request);
    auto response = caller.readToEnd().value_or("");
    return response.substr(0, response.find("\r\n"));
}

static std::string getWith(const std::string& fields)
{
    return "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + fields + "\r\n";
}

// Guards against a field within the limit of the head that the parser cannot hold.
TEST(HttpServerTest, AFieldOfAnySizeGetsAResponse)
{
    HttpLimits limits;
    limits.headerBytes = 256 * 1024;
    auto port = startServer(limits);
    for (size_t bytes : { size_t { 65'000 }, size_t { 66'000 }, size_t { 200'000 } }) {
        auto* expected = bytes < 65'536 ? "HTTP/1.1 200 OK" : "HTTP/1.1 431 Request Header Fields Too Large";
        EXPECT_EQ(statusLineOf(port, getWith("Cookie: " + std::string(bytes, 'c') + "\r\n")), expected) << bytes;
        EXPECT_EQ(statusLineOf(port, getWith(std::string(bytes, 'n') + ": c\r\n")), expected) << bytes;
        std::string folded = "Cookie: c\r\n";
        while (folded.size() < bytes)
            folded += " " + std::string(1000, 'c') + "\r\n";
        // The parser holds less of a folded field.
        EXPECT_EQ(statusLineOf(port, getWith(folded)), "HTTP/1.1 431 Request Header Fields Too Large") << bytes;
    }
    EXPECT_EQ(statusLineOf(port, getWith("")), "HTTP/1.1 200 OK");
}

// Guards against a body that is run as a request of its own, because its end is not known.
TEST(HttpServerTest, ARequestInACodingThatIsNotChunkedAloneIsRefused)
{
    std::atomic<size_t> handled { 0 };
    auto server = HttpServer::Builder(testRuntime())
                      .handler([&](HttpExchange& exchange) {
                          ++handled;
                          exchange.respond(HttpResponse {});
                      })
                      .build();
    auto port = valueOf(server)->port();
    auto inner = getWith("");
    for (const auto* coding : { "gzip", "identity", "chunked, gzip", "gzip, chunked", "chunked, identity", "xchunked",
             "", "chunked\r\nTransfer-Encoding: chunked" }) {
        auto request = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + std::string(coding) + "\r\n\r\n";
        EXPECT_EQ(statusLineOf(port, request + inner), "HTTP/1.1 400 Bad Request") << coding;
        request.append("0\r\n\r\n").append(inner);
        EXPECT_EQ(statusLineOf(port, request), "HTTP/1.1 400 Bad Request") << coding;
    }
    EXPECT_EQ(handled, 0U);
    EXPECT_EQ(
        statusLineOf(port,
            "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"),
        "HTTP/1.1 200 OK");
}

// Guards against a request that no client library can send on.
TEST(HttpServerTest, ATraceRequestWithABodyIsRefused)
{
    auto port = startServer({});
    auto traceWith
        = [](const std::string& rest) { return "TRACE / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + rest; };
    EXPECT_EQ(statusLineOf(port, traceWith("Content-Length: 3\r\n\r\nabc")), "HTTP/1.1 400 Bad Request");
    EXPECT_EQ(statusLineOf(port, traceWith("Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n")),
        "HTTP/1.1 400 Bad Request");
    EXPECT_EQ(statusLineOf(port, traceWith("\r\n")), "HTTP/1.1 200 OK");
}

// Guards against bytes of one caller that end the process, and with it the requests of all others.
TEST(HttpServerTest, AnExceptionEndsItsConnectionAlone)
{
    auto server = HttpServer::Builder(testRuntime())
                      .handler([](HttpExchange& exchange) {
                          if (exchange.path() == "/throws")
                              throw std::length_error("unexpected");
                          exchange.respond(HttpResponse {});
                      })
                      .build();
    auto port = valueOf(server)->port();
    auto& failed
        = Metrics::counter("brassladder_failed_connections_total", "Connections that an unexpected exception ended");
    auto before = failed.Value();
    RawCaller other(port);
    EXPECT_EQ(statusLineOf(port, "GET /throws HTTP/1.1\r\nHost: h\r\n\r\n"), "");
    EXPECT_EQ(failed.Value(), before + 1);
    other.write(getWith(""));
    EXPECT_TRUE(other.readToEnd().value_or("").starts_with("HTTP/1.1 200 OK"));
}

} // namespace Brassladder::Common
