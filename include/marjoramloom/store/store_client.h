#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/core/counters.h"
#include "marjoramloom/store/instance_list.h"
#include "marjoramloom/store/object_store.h"
#include "marjoramloom/store/store_connection.h"
#include "marjoramloom/store/watch_event.h"

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <cassert>
#include <chrono>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace marjoramloom {

/// How often a watch calls.
struct watch_pace
{
    /// Least time between two calls of one watch: changes in quick succession are fetched together, as each call
    /// counts.
    std::chrono::milliseconds period{ 0 };
    /// Least wait after a failed call; waits are spread up to twice of it.
    std::chrono::milliseconds leastRetryWait{ 0 };
};

/// Limits and addresses of a store_client.
struct store_options
{
    std::vector<std::string> addresses; ///< IP:port each; any of them serves.
    std::chrono::milliseconds timeout{ 2'000 }; ///< Of one call, with its retries.
    std::chrono::milliseconds watchWait{ 1'000 }; ///< How long one call of a watch waits for changes.
    watch_pace pace;
    /// Whether a watch dials anew by itself after a failed call; else it ends.
    bool redialsWatches = true;
    std::chrono::milliseconds watchSilence{ 2'000 }; ///< A watch without an answer for this long is dialled anew.
    std::chrono::milliseconds idleLimit{ 15'000 }; ///< Idle connections are not used again after this long.
    std::chrono::milliseconds retryFirst{ 100 };
    std::chrono::milliseconds retryLimit{ 3'000 };
};

/// The instance list at one revision.
struct instance_snapshot
{
    std::uint64_t revision = 0;
    std::vector<listed_instance> instances;
};

/// Client of the platform's object API and instance list, over keep-alive connections.
///
/// Reads are tried again on a fresh connection; a write is sent at most once per call, and its outcome says truthfully
/// what is known. Thread safe; callbacks of a watch run on the executor of the coroutine that watches.
class store_client
{
public:
    /// Precondition: at least one address; \p executor and \p counters outlive the client.
    store_client(boost::asio::any_io_executor executor, store_options options, counter_registry &counters);

    /// Changes the pace of watches from their next calls on. Call on the only thread of the executor.
    auto setWatchPace(const watch_pace &pace) -> void;

    [[nodiscard]] auto watchPace() const -> const watch_pace &;

    /// The object; revision 0 where none stands. Nothing where the platform gave no clear answer.
    auto get(std::string kind, std::string name, last_reason &why)
        -> boost::asio::awaitable<std::optional<stored_object>>;

    /// All objects of a kind.
    auto list(std::string kind, last_reason &why, read_freshness freshness = read_freshness::current)
        -> boost::asio::awaitable<std::optional<object_list>>;

    /// Creates an object where none of that name stands.
    auto create(std::string kind, std::string name, std::string value, last_reason &why)
        -> boost::asio::awaitable<write_outcome>;

    /// Replaces the object that stands at \p revision.
    auto update(std::string kind, std::string name, std::string value, std::uint64_t revision, last_reason &why)
        -> boost::asio::awaitable<write_outcome>;

    /// Deletes the object that stands at \p revision.
    auto remove(std::string kind, std::string name, std::uint64_t revision, last_reason &why)
        -> boost::asio::awaitable<write_outcome>;

    /// The platform's list of instances, which lags.
    auto instances(last_reason &why) -> boost::asio::awaitable<std::optional<instance_snapshot>>;

    /// Hands every change of \p kinds after revision \p since to \p callback, one event at a time; those of one kind
    /// come in order and each once, with bookmarks between them. Calls again whenever a call ends, and dials anew where
    /// the connection ends or falls silent, or ends there where the options say so. Ends when the callback returns
    /// false, or when the platform no longer keeps the changes after the last revision seen: then list again.
    /// Precondition: \p kinds is not empty.
    auto watch(std::vector<std::string> kinds, std::uint64_t since, watch_callback callback)
        -> boost::asio::awaitable<watch_end>;

    /// Time since the platform last gave a clear answer; the largest duration before the first.
    [[nodiscard]] auto silence() const -> duration;

private:
    struct idle_connection
    {
        std::shared_ptr<store_connection> connection;
        time_point since;
    };

    struct call_budget;

    auto call(http_request request, bool repeatable, sent_state &sent, last_reason &why)
        -> boost::asio::awaitable<std::optional<http_response>>;
    auto attempt(call_budget &state, http_request request, sent_state &sent, last_reason &why)
        -> boost::asio::awaitable<std::optional<http_response>>;
    auto write(http_request request, std::string kind, last_reason &why) -> boost::asio::awaitable<write_outcome>;
    auto watchKind(std::string kind, std::uint64_t revision, watch_callback callback)
        -> boost::asio::awaitable<watch_end>;
    auto watchOnce(std::shared_ptr<store_connection> &connection, const std::string &kind, std::uint64_t &revision,
                   watch_callback &callback, last_reason &why) -> boost::asio::awaitable<watch_end>;
    auto takeIdle(const std::string &address) -> std::shared_ptr<store_connection>;
    auto giveBack(std::shared_ptr<store_connection> connection) -> void;
    auto dropIdle(const std::string &address) -> void;
    auto preferredAddress() const -> std::string;
    auto preferNext(const std::string &failed) -> void;
    auto noteAnswer() -> void;

    boost::asio::any_io_executor m_executor;
    store_options m_options;
    counter &m_calls;
    counter &m_failures;
    counter &m_redials;
    std::atomic<std::size_t> m_preferred = 0;
    std::atomic<duration::rep> m_lastAnswer = 0;
    std::mutex m_mutex;
    std::deque<idle_connection> m_idle;
};

} // namespace marjoramloom
