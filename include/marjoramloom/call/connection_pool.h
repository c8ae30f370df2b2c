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

/// Idle connections to backend servers. Thread safe.
class connection_pool
{
public:
    /// An idle connection to \p peer for use on \p executor, or null.
    [[nodiscard]] auto take(const std::string &peer, const boost::asio::any_io_executor &executor)
        -> std::shared_ptr<http_connection>;

    /// Idle connections that are kept to one peer where nothing else is said.
    static constexpr std::size_t IDLE_PER_PEER = 32;

    /// Takes a connection back and keeps at most \p idleLimit to its peer; one whose answer did not end cleanly is
    /// closed instead.
    auto giveBack(std::shared_ptr<http_connection> connection, std::size_t idleLimit = IDLE_PER_PEER) -> void;

private:
    struct idle_connection
    {
        std::shared_ptr<http_connection> connection;
        time_point since;
    };

    /// An older one may have been forgotten by something between the two ends, without a sign to either.
    static constexpr duration IDLE_LIMIT = std::chrono::seconds(5);

    std::mutex m_mutex;
    std::unordered_map<std::string, std::deque<idle_connection>> m_idle;
};

} // namespace marjoramloom
