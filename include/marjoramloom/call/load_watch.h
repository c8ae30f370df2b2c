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

/// A backend server whose load is watched.
struct watched_server
{
    object_id id;
    std::string address; ///< IP:port.
};

/// Rate and limits of a load watch.
struct load_watch_settings
{
    duration period = std::chrono::seconds(1); ///< Of one server.
    duration spacing = std::chrono::milliseconds(5); ///< Least time between two polls, over all servers.
    duration limit = std::chrono::seconds(1); ///< Of one poll.
};

/// Polls the load reports of model engines at a bounded rate.
///
/// Runs on the executor given, a strand, where callbacks are called too; not thread safe. Held by std::shared_ptr.
class load_watch : public std::enable_shared_from_this<load_watch>
{
public:
    struct callbacks
    {
        std::function<void(const load_report &)> onReport;
        std::function<void(object_id)> onLeaving; ///< The server said so.
        std::function<void(object_id, std::uint32_t failures)> onSilent; ///< Failed polls in a row.
    };

    load_watch(boost::asio::any_io_executor executor, load_watch_settings settings, callbacks handlers);

    /// Polls \p servers from now on, and no others.
    auto setServers(const std::vector<watched_server> &servers) -> void;

    /// Starts polling until stop(). Call once.
    auto start() -> void;
    auto stop() -> void;

private:
    struct watch_entry
    {
        std::string address;
        time_point due;
        bool polling = false;
        std::uint32_t failures = 0;
        std::shared_ptr<http_connection> connection; ///< Of the last poll, where it ended cleanly.
    };

    auto run(std::shared_ptr<load_watch> self) -> boost::asio::awaitable<void>;
    auto poll(std::shared_ptr<load_watch> self, object_id id, std::string address) -> boost::asio::awaitable<void>;
    auto exchange(std::shared_ptr<http_connection> connection, last_reason &why)
        -> boost::asio::awaitable<std::optional<std::string>>;
    auto connectionFor(object_id id, const std::string &address, last_reason &why)
        -> boost::asio::awaitable<std::shared_ptr<http_connection>>;
    auto nextDue(time_point now) -> std::pair<object_id, watch_entry *>;
    auto finishPoll(object_id id, const std::string &address, const std::optional<std::string> &body,
                    std::shared_ptr<http_connection> connection) -> void;

    boost::asio::any_io_executor m_executor;
    load_watch_settings m_settings;
    callbacks m_callbacks;
    boost::asio::steady_timer m_timer;
    std::map<object_id, watch_entry> m_servers;
    bool m_stopped = false;
};

/// Reads an engine's load report; nothing (why: protocolViolation) where it is malformed. Thread safe.
auto parseLoadReport(object_id server, const std::string &body, last_reason &why) -> std::optional<load_report>;

} // namespace marjoramloom
