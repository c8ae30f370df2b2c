#include "marjoramloom/router/output_queue.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace asio = boost::asio;

output_queue::output_queue(asio::ip::tcp::socket &socket, connection_memory &memory, duration stallTimeout)
    : m_socket(&socket)
    , m_memory(memory)
    , m_stallTimeout(stallTimeout)
    , m_changed(socket.get_executor())
    , m_progress(system_clock_source().now())
{
}

auto output_queue::write(std::string_view bytes) -> asio::awaitable<bool>
{
    if (queued() == 0 && !m_failed) {
        bytes.remove_prefix(writeNow(bytes));
    }
    if (bytes.empty() || m_failed) {
        co_return !m_failed;
    }
    if (queued() == 0) {
        m_progress = system_clock_source().now();
    }
    const auto wanted = m_queue.size() + bytes.size();
    const auto grown = std::max(wanted, std::min(2 * m_queue.capacity(), MAX_QUEUED_BYTES));
    const auto capacity = wanted > m_queue.capacity() ? grown : m_queue.capacity();
    if (queued() > 0 && (wanted > MAX_QUEUED_BYTES || !m_memory.hold(memory_use::answer, capacity))) {
        // The server is not read on until the caller has taken what is queued.
        if (!co_await waitUntilBelow(1)) {
            co_return false;
        }
        co_return co_await write(bytes);
    }
    // The rest of one part is bounded by the size of a part and kept in any case.
    m_memory.hold(memory_use::answer, capacity);
    m_queue.reserve(capacity);
    m_queue += bytes;
    waitForSocket();
    co_return true;
}

auto output_queue::drain() -> asio::awaitable<bool>
{
    co_return co_await waitUntilBelow(1);
}

auto output_queue::hasFailed() const -> bool
{
    return m_failed;
}

auto output_queue::detach() -> void
{
    if (m_socket != nullptr) {
        release();
        m_socket = nullptr;
    }
}

/// Writes what the socket takes at once. Returns the number of bytes.
auto output_queue::writeNow(std::string_view bytes) -> std::size_t
{
    auto error = boost::system::error_code();
    if (!m_socket->non_blocking()) {
        m_socket->non_blocking(true, error);
    }
    const auto count = error ? std::size_t(0) : m_socket->write_some(asio::buffer(bytes), error);
    if (error && error != asio::error::would_block) {
        fail();
    } else if (count > 0) {
        m_progress = system_clock_source().now();
        m_memory.noteProgress();
    }
    return count;
}

auto output_queue::waitForSocket() -> void
{
    if (m_waiting) {
        return;
    }
    m_waiting = true;
    m_memory.allowEviction("unread answer", [self = shared_from_this()] { self->evict(); });
    m_socket->async_wait(asio::ip::tcp::socket::wait_write,
                         [self = shared_from_this()](boost::system::error_code error) { self->onWritable(error); });
}

auto output_queue::onWritable(boost::system::error_code error) -> void
{
    m_waiting = false;
    if (m_socket == nullptr) {
        return;
    }
    m_memory.forbidEviction();
    if (error) {
        fail();
        return;
    }
    m_written += writeNow(std::string_view(m_queue).substr(m_written));
    if (m_failed) {
        return;
    }
    if (queued() == 0) {
        release();
    } else {
        waitForSocket();
    }
    m_changed.cancel();
}

/// Waits until fewer than \p bytes are queued. Returns false if the connection failed.
auto output_queue::waitUntilBelow(std::size_t bytes) -> asio::awaitable<bool>
{
    const auto self = shared_from_this();
    while (!m_failed && queued() >= bytes) {
        m_changed.expires_at(m_progress + m_stallTimeout);
        auto error = boost::system::error_code();
        co_await m_changed.async_wait(asio::redirect_error(asio::use_awaitable, error));
        if (!error && system_clock_source().now() >= m_progress + m_stallTimeout) {
            fail();
        }
    }
    co_return !m_failed;
}

auto output_queue::queued() const -> std::size_t
{
    return m_queue.size() - m_written;
}

/// Closes the connection to the caller, which is then treated as disconnected.
auto output_queue::evict() -> void
{
    fail();
    if (m_socket != nullptr) {
        auto ignored = boost::system::error_code();
        m_socket->shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    }
}

auto output_queue::release() -> void
{
    if (m_waiting) {
        m_memory.forbidEviction();
    }
    std::string().swap(m_queue);
    m_written = 0;
    m_memory.hold(memory_use::answer, 0);
}

auto output_queue::fail() -> void
{
    m_failed = true;
    release();
    m_changed.cancel();
}

} // namespace marjoramloom
