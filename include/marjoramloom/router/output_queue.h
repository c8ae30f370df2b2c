#pragma once

#include "marjoramloom/router/memory_budget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace marjoramloom {

/// Bytes of a streamed answer that the caller has not taken yet. They are written while the stream is read on, so that
/// a slow caller does not make the server close it.
///
/// Not thread safe: used on the connection's strand.
class output_queue : public std::enable_shared_from_this<output_queue>
{
public:
    /// What is queued for one caller at most. The streams of the known deployments are shorter.
    static constexpr std::size_t MAX_QUEUED_BYTES = std::size_t(128) << 10U;

    /// Preconditions: \p socket and \p memory outlive the queue, or detach() is called before they are destroyed. The
    /// connection fails if the caller takes nothing for \p stallTimeout.
    output_queue(boost::asio::ip::tcp::socket &socket, connection_memory &memory, duration stallTimeout);

    /// Writes \p bytes, or queues what the socket does not take. Waits only if too much is queued or there is no room.
    /// Returns false if the connection failed.
    auto write(std::string_view bytes) -> boost::asio::awaitable<bool>;

    /// Waits until everything is written. Returns false if the connection failed.
    auto drain() -> boost::asio::awaitable<bool>;

    [[nodiscard]] auto hasFailed() const -> bool;

    /// Stops using the socket and the memory.
    auto detach() -> void;

private:
    auto writeNow(std::string_view bytes) -> std::size_t;
    auto waitForSocket() -> void;
    auto onWritable(boost::system::error_code error) -> void;
    auto waitUntilBelow(std::size_t bytes) -> boost::asio::awaitable<bool>;
    auto queued() const -> std::size_t;
    auto evict() -> void;
    auto release() -> void;
    auto fail() -> void;

    boost::asio::ip::tcp::socket *m_socket; ///< Null after detach().
    connection_memory &m_memory;
    duration m_stallTimeout;
    boost::asio::steady_timer m_changed; ///< Cancelled when bytes were written or the connection failed.
    time_point m_progress;
    std::string m_queue;
    std::size_t m_written = 0; ///< Bytes at the start of m_queue that were written.
    bool m_waiting = false;
    bool m_failed = false;
};

} // namespace marjoramloom
