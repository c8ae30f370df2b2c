#pragma once

#include "marjoramloom/core/clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace marjoramloom {

class http_connection;

/// Keeps idle connections to backend servers for reuse. Thread safe.
class connection_pool
{
public:
    /// Removes an idle connection to \p peer from the pool and binds it to \p executor. Returns null if there is none.
    [[nodiscard]] auto take(const std::string &peer, const boost::asio::any_io_executor &executor)
        -> std::shared_ptr<http_connection>;

    /// Default limit of idle connections per peer.
    static constexpr std::size_t MAX_IDLE_PER_PEER = 32;

    /// Returns \p connection to the pool, which keeps at most \p idleLimit connections to its peer. A connection whose
    /// last answer did not end cleanly is closed instead.
    auto giveBack(std::shared_ptr<http_connection> connection, std::size_t idleLimit = MAX_IDLE_PER_PEER) -> void;

    /// Closes the idle connections to \p peer.
    auto closeIdle(const std::string &peer) -> void;

private:
    /// A pooled connection and the time since which it has been idle.
    struct idle_connection
    {
        std::shared_ptr<http_connection> connection;
        time_point since;
    };

    /// A NAT or firewall on the path may drop the state of a connection that is idle for longer, without notifying
    /// either end.
    static constexpr duration MAX_IDLE_TIME = std::chrono::seconds(5);

    std::mutex m_mutex;
    std::unordered_map<std::string, std::deque<idle_connection>> m_idle;
};

} // namespace marjoramloom
