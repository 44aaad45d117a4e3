// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/ConnectionBudget.h"
#include "Common/HttpExchange.h"

namespace Brassladder::Common {

// Reads one request of a connection, within its limits and the budget of the connection. Used by one fiber.
class RequestReader {
public:
    using Socket = HttpExchange::Socket;

    // Returns whether to read a large body, given the head of its request.
    using WantsBody = std::function<bool(const HttpRequest& head)>;

    RequestReader(Socket&, boost::beast::flat_buffer&, BudgetedConnection&, const HttpLimits&);

    enum class Outcome : uint8_t {
        Complete,
        Unwanted, // The body is not read.
        Failed, // See `failure`.
        Ended, // The connection has ended or sent no request.
    };
    // Reads the request whose first bytes are in the buffer.
    Outcome read(const WantsBody&);
    // The response to a request that could not be read.
    const std::optional<Error>& failure() const { return m_failure; }
    // Returns the request, after `Complete` and `Unwanted`. What it occupies is still reserved.
    HttpRequest takeRequest() { return m_parser.release(); }
    // Memory of the request and the connection.
    size_t heldBytes() const;

private:
    class Timer;

    // Parses the bytes in the buffer. Returns nullopt if the request is incomplete.
    std::optional<Outcome> parse(const WantsBody&);
    // Parses the bytes in the buffer. Returns false after an error.
    bool putBytes(boost::beast::error_code&);
    // Returns why the head states a request that must not be read further; null if it does not.
    const char* invalidHead() const;
    bool hasTooManyFields();
    bool hasTooManyTrailers() const;
    bool isBodyUnwanted(const WantsBody&);
    // Reserves the memory that the next read may need.
    bool reserveNextRead();
    bool reserve(ConnectionStage, size_t bytes);
    std::optional<Outcome> receive(const Timer&);
    Outcome fail(ErrorKind, std::string message);
    Outcome endOf(const boost::beast::error_code&);
    size_t bodyBytes() const;

    Socket& m_stream;
    boost::beast::flat_buffer& m_buffer;
    BudgetedConnection& m_connection;
    const HttpLimits& m_limits;
    boost::beast::http::request_parser<boost::beast::http::string_body> m_parser;
    size_t m_scannedBytes { 0 }; // Of the head.
    size_t m_lines { 0 }; // Of the head, as far as it was scanned.
    bool m_isBodyChecked { false };
    std::optional<Error> m_failure;
};

} // namespace Brassladder::Common
