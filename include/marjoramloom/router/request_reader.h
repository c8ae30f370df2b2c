#pragma once

#include "marjoramloom/core/header_field.h"
#include "marjoramloom/router/http_exchange.h"
#include "marjoramloom/router/http_limits.h"
#include "marjoramloom/router/memory_budget.h"

#include <boost/beast/http/parser.hpp>

namespace marjoramloom {

/// Reads one request from a connection. The memory that it takes is counted before it grows; without room for it, or if
/// the memory is needed for others, the request is not read on.
///
/// Not thread safe: used on the connection's strand. Each object reads one request.
class request_reader
{
public:
    using request_type = http_exchange::request_type;

    /// Preconditions: \p stream, \p buffer and \p memory outlive the reader; \p buffer holds the first bytes of the
    /// request.
    request_reader(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, const http_limits &limits,
                   connection_memory &memory);

    /// Reads the request within the header timeout. Returns false if it cannot be served; see error().
    auto read() -> boost::asio::awaitable<bool>;

    /// Why read() failed: boost::system::errc::not_enough_memory for lack of room, else an error of the connection or
    /// of the parser.
    [[nodiscard]] auto error() const -> boost::system::error_code;

    /// The fields of the request, as far as they were read.
    [[nodiscard]] auto head() const -> const boost::beast::http::request_header<> &;

    /// Precondition: read() succeeded.
    auto releaseRequest() -> request_type;

    /// Fields that are too long for the request. Precondition: read() succeeded.
    auto releaseLongFields() -> long_fields;

private:
    using parser_type = boost::beast::http::request_parser<boost::beast::http::string_body>;

    auto readHead() -> boost::asio::awaitable<void>;
    auto readBody() -> boost::asio::awaitable<void>;
    auto readSome() -> boost::asio::awaitable<void>;
    auto parseAvailable() -> void;
    auto parse(std::string_view bytes) -> std::size_t;
    auto limitFraming(std::size_t unparsed) -> void;
    auto countMemory(std::size_t added) -> void;
    auto evict() -> void;
    auto fail(boost::system::error_code error) -> void;

    boost::beast::tcp_stream &m_stream;
    boost::beast::flat_buffer &m_buffer;
    connection_memory &m_memory;
    http_limits m_limits;
    parser_type m_parser;
    long_fields m_longFields;
    std::size_t m_headBytes = 0;
    boost::system::error_code m_error;
};

} // namespace marjoramloom
