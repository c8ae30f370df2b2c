#pragma once

#include "marjoramloom/call/call_types.h"
#include "marjoramloom/call/http_connection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace marjoramloom {

/// A backend server to poll.
struct watched_server
{
    object_id id;
    std::string address; ///< IP:port.
};

/// Polling rate and timeout of a load_watch.
struct load_watch_settings
{
    duration period = std::chrono::seconds(1); ///< Time between two polls of the same server.
    duration spacing = std::chrono::milliseconds(5); ///< Minimum time between two polls of any servers.
    duration limit = std::chrono::seconds(1); ///< Timeout of each step of a poll: connect, send, read.
};

/// Polls the load reports of model engines at a limited rate.
///
/// Runs on the given executor, which must be a strand, and calls the callbacks there. Not thread safe. Must be owned by
/// a std::shared_ptr.
class load_watch : public std::enable_shared_from_this<load_watch>
{
public:
    /// Functions that receive the results of polls.
    struct callbacks
    {
        std::function<void(const load_report &)> onReport;
        std::function<void(object_id)> onLeaving; ///< The server answered that it is leaving.
        std::function<void(object_id, std::uint32_t failures)>
            onPollFailed; ///< With the number of consecutive failures.
    };

    load_watch(boost::asio::any_io_executor executor, load_watch_settings settings, callbacks handlers);

    /// Replaces the set of polled servers by \p servers.
    auto setServers(const std::vector<watched_server> &servers) -> void;

    /// Starts polling until stop(). Call once.
    auto start() -> void;
    auto stop() -> void;

private:
    /// Polling state of one server.
    struct watch_entry
    {
        std::string address;
        time_point nextPollAt;
        bool polling = false;
        std::uint32_t failures = 0;
        std::shared_ptr<http_connection> connection; ///< Kept from the last poll if that ended cleanly.
    };

    auto run(std::shared_ptr<load_watch> self) -> boost::asio::awaitable<void>;
    auto poll(std::shared_ptr<load_watch> self, object_id id, std::string address) -> boost::asio::awaitable<void>;
    auto requestReport(std::shared_ptr<http_connection> connection, last_reason &why)
        -> boost::asio::awaitable<std::optional<std::string>>;
    auto connectionFor(object_id id, const std::string &address, last_reason &why)
        -> boost::asio::awaitable<std::shared_ptr<http_connection>>;
    auto nextServerToPoll(time_point now) -> std::pair<object_id, watch_entry *>;
    auto finishPoll(object_id id, const std::string &address, const std::optional<std::string> &body,
                    std::shared_ptr<http_connection> connection) -> void;

    boost::asio::any_io_executor m_executor;
    load_watch_settings m_settings;
    callbacks m_callbacks;
    boost::asio::steady_timer m_timer;
    std::map<object_id, watch_entry> m_servers;
    bool m_stopped = false;
};

/// Parses an engine's load report. Returns nothing (why: protocolViolation) if it is malformed. Thread safe.
auto parseLoadReport(object_id server, const std::string &body, last_reason &why) -> std::optional<load_report>;

} // namespace marjoramloom
