// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/FiberIo.h"
#include "Common/FiberRuntime.h"

#include <nghttp2/nghttp2.h>

namespace Brassladder::Inner {

// An HTTP/2 connection that carries one byte stream from the client to the server. The client sends a POST to `/inner`
// whose body has no end. All functions must be called on one thread: `run` by a reader fiber, `send` by another fiber.
class Http2Session : public std::enable_shared_from_this<Http2Session> {
public:
    using Socket = boost::asio::ip::tcp::socket;
    struct Hooks {
        // Server: returns whether the authorization is valid. Otherwise the stream is answered with 401 and reset.
        std::function<bool(std::string_view authorization)> authorize;
        // Server: receives bytes of the stream. Returning false closes the connection.
        std::function<bool(std::string_view)> onData;
    };

    static std::shared_ptr<Http2Session> server(Socket, Hooks);
    static std::shared_ptr<Http2Session> client(Socket, std::string_view authorization);
    ~Http2Session();

    // Reads until the connection ends.
    void run();
    // Client: sends bytes of the stream. Suspends the calling fiber until nghttp2 has framed all bytes, for which the
    // peer's flow control window must have room, or until the connection ends. Closes the connection if the window
    // accepts no bytes for the write stall timeout. Only one fiber may call this at a time.
    void send(std::string bytes);
    void close();
    bool isOpen() const { return m_open; }

private:
    Http2Session(Socket, Hooks);
    void startClient(std::string_view authorization);
    void startServer();
    void flush();
    void writePending();
    void awaitOutboundConsumed();
    bool deliverReceived();
    static ssize_t readBody(nghttp2_session*, int32_t, uint8_t*, size_t, uint32_t* flags, nghttp2_data_source*, void*);
    static int onHeader(
        nghttp2_session*, const nghttp2_frame*, const uint8_t*, size_t, const uint8_t*, size_t, uint8_t, void*);
    static int onFrame(nghttp2_session*, const nghttp2_frame*, void*);
    static int onDataChunk(nghttp2_session*, uint8_t, int32_t, const uint8_t*, size_t, void*);
    // Ends the session unless the server accepts the stream.
    static int onResponseHeader(nghttp2_session*, const nghttp2_frame*, const uint8_t* name, size_t nameLength,
        const uint8_t* value, size_t valueLength, uint8_t flags, void* user);
    static int onStreamClose(nghttp2_session*, int32_t, uint32_t, void*);

    Socket m_socket;
    Hooks m_hooks;
    nghttp2_session* m_session { nullptr };
    int32_t m_stream { 0 };
    std::string m_authorization;
    bool m_authorized { false };
    std::string m_received; // Bytes of the stream that `onData` has not received yet.
    std::string m_outbound;
    size_t m_outboundConsumed { 0 };
    uint64_t m_totalConsumed { 0 }; // Outbound bytes that nghttp2 has consumed since the connection opened.
    bool m_bodyDeferred { false }; // nghttp2 waits for outbound bytes; `nghttp2_session_resume_data` ends the wait.
    bool m_flushing { false };
    bool m_open { true };
    boost::fibers::mutex m_progressMutex;
    boost::fibers::condition_variable m_progress; // Notified when bytes were consumed and when the connection ends.
};

} // namespace Brassladder::Inner
