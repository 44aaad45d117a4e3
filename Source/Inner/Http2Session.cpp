// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Inner/Http2Session.h"

#include <algorithm>
#include <array>
#include <netinet/tcp.h>

namespace Brassladder::Inner {

namespace asio = boost::asio;

// The connection is closed when sent bytes stay unacknowledged for this long (TCP_USER_TIMEOUT), for example during a
// network partition. The kernel of a stopped process still acknowledges bytes, so the connection is also closed when
// the peer's HTTP/2 window accepts no outbound bytes for this long.
static constexpr int writeStallTimeoutMs = 2000;

// Buffer size of one read: the default maximum HTTP/2 frame size (RFC 9113, 6.5.2).
static constexpr size_t readBufferBytes = 16 * 1024;
// HTTP/2 flow control window; large enough for a burst of frames to be sent without waiting for window updates.
static constexpr int32_t flowControlWindowBytes = 1 << 20;

Http2Session::Http2Session(Socket socket, Hooks hooks)
    : m_socket(std::move(socket))
    , m_hooks(std::move(hooks))
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    m_socket.set_option(UserTimeout(writeStallTimeoutMs), ignored);
}

Http2Session::~Http2Session() { nghttp2_session_del(m_session); }

std::shared_ptr<Http2Session> Http2Session::server(Socket socket, Hooks hooks)
{
    std::shared_ptr<Http2Session> session(new Http2Session(std::move(socket), std::move(hooks)));
    session->startServer();
    return session;
}

std::shared_ptr<Http2Session> Http2Session::client(Socket socket, std::string_view authorization)
{
    std::shared_ptr<Http2Session> session(new Http2Session(std::move(socket), {}));
    session->startClient(authorization);
    return session;
}

static void submitSettings(nghttp2_session* session)
{
    std::array settings { nghttp2_settings_entry { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, flowControlWindowBytes },
        nghttp2_settings_entry { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1 } };
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0, flowControlWindowBytes);
}

void Http2Session::startServer()
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onDataChunk);
    nghttp2_session_server_new(&m_session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    submitSettings(m_session);
}

static nghttp2_nv header(std::string_view name, std::string_view value)
{
    auto bytes = [](std::string_view text) { return reinterpret_cast<uint8_t*>(const_cast<char*>(text.data())); };
    return { bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
}

void Http2Session::startClient(std::string_view authorization)
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, onResponseHeader);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClose);
    nghttp2_session_client_new(&m_session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    submitSettings(m_session);
    std::array headers { header(":method", "POST"), header(":scheme", "http"), header(":path", "/inner"),
        header(":authority", "brassladder"), header("authorization", authorization) };
    nghttp2_data_provider body {};
    body.source.ptr = this;
    body.read_callback = readBody;
    m_stream = nghttp2_submit_request(m_session, nullptr, headers.data(), headers.size(), &body, this);
}

ssize_t Http2Session::readBody(
    nghttp2_session*, int32_t, uint8_t* target, size_t room, uint32_t*, nghttp2_data_source* source, void*)
{
    auto& self = *static_cast<Http2Session*>(source->ptr);
    size_t bytes = std::min(room, self.m_outbound.size() - self.m_outboundConsumed);
    if (!bytes) {
        self.m_bodyDeferred = true;
        return NGHTTP2_ERR_DEFERRED;
    }
    std::copy_n(self.m_outbound.data() + self.m_outboundConsumed, bytes, target);
    self.m_outboundConsumed += bytes;
    self.m_totalConsumed += bytes;
    // Erases the consumed prefix once it is at least half of the buffer, so the buffer stays bounded even if it is
    // never empty.
    if (self.m_outboundConsumed >= self.m_outbound.size() - self.m_outboundConsumed) {
        self.m_outbound.erase(0, self.m_outboundConsumed);
        self.m_outboundConsumed = 0;
    }
    return static_cast<ssize_t>(bytes);
}

int Http2Session::onHeader(nghttp2_session*, const nghttp2_frame*, const uint8_t* name, size_t nameLength,
    const uint8_t* value, size_t valueLength, uint8_t, void* user)
{
    auto& self = *static_cast<Http2Session*>(user);
    if (std::string_view(reinterpret_cast<const char*>(name), nameLength) == "authorization")
        self.m_authorization.assign(reinterpret_cast<const char*>(value), valueLength);
    return 0;
}

int Http2Session::onFrame(nghttp2_session* session, const nghttp2_frame* frame, void* user)
{
    auto& self = *static_cast<Http2Session*>(user);
    if (frame->hd.type != NGHTTP2_HEADERS)
        return 0;
    self.m_authorized = self.m_hooks.authorize(self.m_authorization);
    std::string_view status = self.m_authorized ? "200" : "401";
    std::array headers { header(":status", status) };
    if (self.m_authorized)
        return nghttp2_submit_headers(
            session, NGHTTP2_FLAG_NONE, frame->hd.stream_id, nullptr, headers.data(), headers.size(), nullptr);
    nghttp2_submit_headers(
        session, NGHTTP2_FLAG_END_STREAM, frame->hd.stream_id, nullptr, headers.data(), headers.size(), nullptr);
    return nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_REFUSED_STREAM);
}

int Http2Session::onDataChunk(nghttp2_session*, uint8_t, int32_t, const uint8_t* data, size_t length, void* user)
{
    auto& self = *static_cast<Http2Session*>(user);
    if (self.m_authorized)
        self.m_received.append(reinterpret_cast<const char*>(data), length);
    return 0;
}

int Http2Session::onResponseHeader(nghttp2_session*, const nghttp2_frame*, const uint8_t* name, size_t nameLength,
    const uint8_t* value, size_t valueLength, uint8_t, void*)
{
    bool isStatus = std::string_view(reinterpret_cast<const char*>(name), nameLength) == ":status";
    bool isAccepted = std::string_view(reinterpret_cast<const char*>(value), valueLength) == "200";
    return isStatus && !isAccepted ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
}

int Http2Session::onStreamClose(nghttp2_session*, int32_t, uint32_t, void* user)
{
    static_cast<Http2Session*>(user)->m_open = false;
    return 0;
}

void Http2Session::run()
{
    auto keepAlive = shared_from_this();
    flush();
    std::vector<char> buffer(readBufferBytes);
    while (m_open) {
        auto read = Common::awaitIo(
            [&](auto handler) { m_socket.async_read_some(asio::buffer(buffer), std::move(handler)); });
        if (!read.ok())
            break;
        auto consumed
            = nghttp2_session_mem_recv(m_session, reinterpret_cast<const uint8_t*>(buffer.data()), read.bytes);
        if (!deliverReceived() || consumed < 0)
            break;
        flush();
    }
    close();
}

// Runs outside of nghttp2's callbacks, because the hook may call any function of this session.
bool Http2Session::deliverReceived()
{
    if (m_received.empty())
        return true;
    bool isAccepted = m_hooks.onData(m_received);
    m_received.clear();
    return isAccepted;
}

void Http2Session::send(std::string bytes)
{
    if (!m_open)
        return;
    if (m_outbound.empty())
        m_outbound = std::move(bytes);
    else
        m_outbound += bytes;
    if (m_bodyDeferred) {
        m_bodyDeferred = false;
        nghttp2_session_resume_data(m_session, m_stream);
    }
    flush();
    awaitOutboundConsumed();
}

// Waits until nghttp2 has consumed all outbound bytes. Another fiber may be writing, or the peer's flow control window
// may be exhausted. In the latter case, the reader fiber resumes sending after it has received a window update.
void Http2Session::awaitOutboundConsumed()
{
    std::unique_lock lock(m_progressMutex);
    while (m_open && !m_outbound.empty()) {
        auto consumedBefore = m_totalConsumed;
        auto status = m_progress.wait_for(lock, std::chrono::milliseconds(writeStallTimeoutMs));
        // While bytes are being written to the socket (`m_flushing`), TCP_USER_TIMEOUT applies instead.
        bool hasTimedOut
            = status == boost::fibers::cv_status::timeout && m_totalConsumed == consumedBefore && !m_flushing && m_open;
        if (hasTimedOut)
            close();
    }
}

// One fiber writes at a time. It also writes the bytes that other fibers add in the meantime.
void Http2Session::flush()
{
    if (m_flushing)
        return;
    auto keepAlive = shared_from_this();
    m_flushing = true;
    writePending();
    m_flushing = false;
    // The stream was closed, or nghttp2 ended the session after a protocol error. Closing the socket also ends the
    // pending read of the reader fiber, which would otherwise wait for data that the session no longer accepts.
    if (!m_open || (!nghttp2_session_want_read(m_session) && !nghttp2_session_want_write(m_session)))
        close();
    m_progress.notify_all();
}

void Http2Session::writePending()
{
    std::string batch;
    while (m_open) {
        batch.clear();
        const uint8_t* piece = nullptr;
        ssize_t length = 0;
        while ((length = nghttp2_session_mem_send(m_session, &piece)) > 0)
            batch.append(reinterpret_cast<const char*>(piece), static_cast<size_t>(length));
        if (batch.empty())
            return;
        auto written = Common::awaitIo(
            [&](auto handler) { asio::async_write(m_socket, asio::buffer(batch), std::move(handler)); });
        if (!written.ok())
            close();
    }
}

void Http2Session::close()
{
    m_open = false;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_progress.notify_all();
}

} // namespace Brassladder::Inner
