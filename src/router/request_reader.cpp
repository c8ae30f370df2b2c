#include "marjoramloom/router/request_reader.h"

#include "marjoramloom/router/request_head.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cassert>
#include <cstring>
#include <sys/socket.h>
#include <utility>

namespace marjoramloom {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// A waiting connection holds a buffer of this size; what arrives beyond it is read into a buffer that all share.
constexpr std::size_t waitReadBytes = 4'096;
/// Bytes of a body that are read and parsed at once.
constexpr std::size_t bodyReadBytes = std::size_t(64) << 10U;
/// Limit of the bytes that are kept for the parser after a head: the frame of a chunk, or the trailers.
constexpr std::size_t maxFramingBytes = std::size_t(48) << 10U;
/// Larger blocks of memory are mapped by the allocator page by page (M_MMAP_THRESHOLD), so that the unused rest of the
/// block takes no memory.
constexpr std::size_t mappedBytes = std::size_t(128) << 10U;
/// Granularity in which the used part of a large block is counted.
constexpr std::size_t countedBytes = std::size_t(64) << 10U;

auto noRoom() -> boost::system::error_code
{
    return make_error_code(boost::system::errc::not_enough_memory);
}

auto textOf(const boost::beast::flat_buffer &buffer) -> std::string_view
{
    return { static_cast<const char *>(buffer.data().data()), buffer.size() };
}

} // namespace

request_reader::request_reader(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer,
                               const http_limits &limits, connection_memory &memory)
    : m_stream(stream)
    , m_buffer(buffer)
    , m_memory(memory)
    , m_limits(limits)
{
    m_parser.body_limit(limits.bodyBytes);
    m_parser.header_limit(limits.headerBytes);
    m_parser.eager(true);
}

auto request_reader::read() -> asio::awaitable<bool>
{
    m_stream.expires_after(m_limits.headerTimeout);
    // The time for which the connection was idle before is no stall of this request.
    m_memory.noteProgress();
    countMemory(0);
    co_await readHead();
    if (!m_error) {
        m_headBytes = m_buffer.size();
        m_longFields = takeLongFields(m_buffer);
        m_buffer.consume(parse(textOf(m_buffer)));
        // Bytes that arrived with an earlier request may exceed what one read adds.
        limitFraming(m_buffer.size());
        countMemory(0);
        co_await readBody();
    }
    m_stream.expires_never();
    co_return !m_error;
}

auto request_reader::error() const -> boost::system::error_code
{
    return m_error;
}

auto request_reader::head() const -> const http::request_header<> &
{
    return m_parser.get().base();
}

auto request_reader::releaseRequest() -> request_type
{
    assert(m_parser.is_done());
    return m_parser.release();
}

auto request_reader::releaseLongFields() -> long_fields
{
    return std::move(m_longFields);
}

/// Reads the complete head of the request and validates it.
auto request_reader::readHead() -> asio::awaitable<void>
{
    while (!m_error) {
        const auto state = checkRequestHead(textOf(m_buffer));
        if (state == head_state::valid) {
            co_return;
        }
        if (state == head_state::malformed) {
            fail(http::error::bad_field);
        } else if (m_buffer.size() > m_limits.headerBytes) {
            fail(http::error::header_limit);
        } else {
            co_await readSome();
        }
    }
}

auto request_reader::readBody() -> asio::awaitable<void>
{
    while (!m_error && !m_parser.is_done()) {
        co_await readSome();
        if (!m_error) {
            parseAvailable();
        }
    }
}

/// Waits for further bytes and reads a part of them into the connection's buffer.
auto request_reader::readSome() -> asio::awaitable<void>
{
    auto error = boost::system::error_code();
    const auto place = m_buffer.prepare(waitReadBytes);
    countMemory(0);
    if (m_error) {
        co_return;
    }
    const auto scope = eviction_scope(m_memory, "unfinished request", [this] { evict(); });
    const auto count = co_await m_stream.async_read_some(place, asio::redirect_error(asio::use_awaitable, error));
    if (error && !m_error) {
        m_error = error;
    }
    m_buffer.commit(count);
    if (count > 0) {
        m_memory.noteProgress();
    }
}

/// Parses the buffered bytes and those that can be read without waiting.
auto request_reader::parseAvailable() -> void
{
    thread_local auto shared = std::array<char, maxFramingBytes + waitReadBytes + bodyReadBytes>();
    const auto kept = m_buffer.size();
    assert(kept <= maxFramingBytes + waitReadBytes);
    std::memcpy(shared.data(), m_buffer.data().data(), kept);
    m_buffer.consume(kept);
    const auto received = ::recv(m_stream.socket().native_handle(), shared.data() + kept,
                                 std::min(bodyReadBytes, shared.size() - kept), MSG_DONTWAIT);
    // The end of the connection, and errors, show at the next wait.
    const auto size = kept + static_cast<std::size_t>(std::max<ssize_t>(received, 0));
    const auto bytes = std::string_view(shared.data(), size);
    const auto parsed = parse(bytes);
    const auto rest = bytes.substr(parsed);
    limitFraming(rest.size());
    if (m_error) {
        return; // The request is refused, and what follows is not needed.
    }
    m_buffer.commit(asio::buffer_copy(m_buffer.prepare(rest.size()), asio::buffer(rest)));
    countMemory(0);
}

/// Ends the request if the parser leaves \p unparsed bytes of it, more than any frame of a chunk or trailer needs.
auto request_reader::limitFraming(std::size_t unparsed) -> void
{
    if (!m_error && !m_parser.is_done() && unparsed > maxFramingBytes) {
        fail(http::error::buffer_overflow);
    }
}

/// Passes \p bytes to the parser. Returns how many it consumed.
auto request_reader::parse(std::string_view bytes) -> std::size_t
{
    countMemory(bytes.size());
    auto consumed = std::size_t(0);
    auto error = m_error;
    if (!m_error) {
        consumed = m_parser.put(asio::const_buffer(bytes.data(), bytes.size()), error);
    }
    if (error && error != http::error::need_more) {
        fail(error);
    }
    return consumed;
}

/// Counts the memory of the request once the body has grown by up to \p added bytes, and makes room in the body.
auto request_reader::countMemory(std::size_t added) -> void
{
    auto &body = m_parser.get().body();
    const auto needed = body.size() + added;
    auto capacity = body.capacity();
    if (m_parser.is_header_done() && needed > capacity && !m_parser.is_done()) {
        // A block that is mapped may as well have the final size.
        const auto limit = std::max<std::size_t>(needed, m_limits.bodyBytes);
        capacity = 2 * needed > mappedBytes ? limit : std::min(2 * needed, limit);
    }
    const auto counted =
        capacity <= mappedBytes ? capacity : std::min(capacity, (needed / countedBytes + 1) * countedBytes);
    if (m_error) {
        return;
    }
    if (!m_memory.hold(memory_use::request, m_headBytes + m_buffer.capacity() + counted)) {
        fail(noRoom());
    } else if (capacity > body.capacity()) {
        body.reserve(capacity);
    }
}

/// Ends the request and releases its memory for others.
auto request_reader::evict() -> void
{
    fail(noRoom());
    m_stream.cancel();
}

/// Ends the request, which is not read on, and releases its body. The rest is released when the connection closes,
/// which is soon.
auto request_reader::fail(boost::system::error_code error) -> void
{
    m_error = error;
    std::string().swap(m_parser.get().body());
    m_memory.hold(memory_use::request, 0);
}

} // namespace marjoramloom
