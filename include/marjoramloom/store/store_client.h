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

/// Limits how often a watch sends requests.
struct watch_throttle
{
    /// Least time between two requests of one watch. Changes in quick succession are fetched together, so that the
    /// platform gets fewer requests.
    std::chrono::milliseconds minInterval{ 0 };
    /// Least wait after a failed request; waits are random up to at least twice this.
    std::chrono::milliseconds minRetryWait{ 0 };
};

/// Limits and addresses of a store_client.
struct store_options
{
    std::vector<std::string> addresses; ///< IP:port of each server of the platform; they are equivalent.
    std::chrono::milliseconds timeout{ 2'000 }; ///< Of one call, including its retries.
    /// How long the platform holds a request of a watch open while nothing changes.
    std::chrono::milliseconds watchPollWait{ 1'000 };
    watch_throttle throttle;
    /// Whether a watch reconnects after a failed request; otherwise it ends with watch_end::broken.
    bool reconnectsWatches = true;
    std::chrono::milliseconds watchTimeout{ 2'000 }; ///< A request of a watch fails without a response in this time.
    std::chrono::milliseconds idleLimit{ 15'000 }; ///< Connections that were idle for longer are not reused.
    std::chrono::milliseconds retryFirst{ 100 }; ///< First upper bound of the wait before a watch reconnects.
    std::chrono::milliseconds retryLimit{ 3'000 }; ///< Largest upper bound of that wait.
};

/// The instance list at one revision.
struct instance_snapshot
{
    std::uint64_t revision = 0;
    std::vector<listed_instance> instances;
};

/// Client of the platform's object API and instance list, over keep-alive connections.
///
/// Reads are retried on a new connection. A write is sent at most once per call, and its result distinguishes whether
/// it took effect, certainly did not, or may have. Revisions are ordered across the store's eras (store_revision.h). An
/// answer of an era that is known to be over counts as none. Where the store states no era, a list at a revision below
/// one that was known when it was asked for shows that a new one began. Thread safe; a watch calls its callback on the
/// executor of the coroutine that awaits it.
class store_client
{
public:
    /// Precondition: at least one address; \p executor and \p counters outlive the client.
    store_client(boost::asio::any_io_executor executor, store_options options, counter_registry &counters);

    /// Changes the throttle of all watches from their next requests on. Precondition: called on the executor, which has
    /// a single thread.
    auto setWatchThrottle(const watch_throttle &throttle) -> void;

    [[nodiscard]] auto watchThrottle() const -> const watch_throttle &;

    /// Reads an object; its revision is 0 where it does not exist. Returns nothing where the read failed.
    auto get(std::string kind, std::string name, last_reason &why)
        -> boost::asio::awaitable<std::optional<stored_object>>;

    /// Reads all objects of a kind, page by page. Objects that cannot be parsed are skipped and logged.
    auto list(std::string kind, last_reason &why, read_freshness freshness = read_freshness::current)
        -> boost::asio::awaitable<std::optional<object_list>>;

    /// Creates an object if none of that name exists.
    auto create(std::string kind, std::string name, std::string value, last_reason &why)
        -> boost::asio::awaitable<write_outcome>;

    /// Replaces the object if it is at \p revision. A revision of an earlier era is a conflict.
    auto update(std::string kind, std::string name, std::string value, std::uint64_t revision, last_reason &why)
        -> boost::asio::awaitable<write_outcome>;

    /// Deletes the object if it is at \p revision. A revision of an earlier era is a conflict.
    auto remove(std::string kind, std::string name, std::uint64_t revision, last_reason &why)
        -> boost::asio::awaitable<write_outcome>;

    /// Reads the platform's list of instances, which lags behind the actual state of the fleet. Instances that cannot
    /// be parsed are skipped and logged.
    auto instances(last_reason &why) -> boost::asio::awaitable<std::optional<instance_snapshot>>;

    /// Passes every change of \p kinds after revision \p afterRevision to \p callback, one event at a time. The events
    /// of one kind come in order and exactly once, with bookmarks between them. Changes are fetched by long polling,
    /// with one request after another for each kind. Where a connection fails or times out, the watch reconnects or
    /// ends, as store_options::reconnectsWatches says. It ends, too, when the callback returns false, and when the
    /// platform no longer holds the changes after the last revision seen (watch_end::expired), or a new era of the
    /// store began; the caller then has to list again. Precondition: \p kinds is not empty.
    auto watch(std::vector<std::string> kinds, std::uint64_t afterRevision, watch_callback callback)
        -> boost::asio::awaitable<watch_end>;

    /// The latest known era of the store; 0 before the first one.
    [[nodiscard]] auto era() const -> std::uint32_t;

    /// Records that another router knows of \p era. Has no effect where the store states its eras itself.
    auto noteEraOfOthers(std::uint32_t era) -> void;

    /// Time since the platform's last valid response; duration::max() before the first one.
    [[nodiscard]] auto timeSinceLastAnswer() const -> duration;

private:
    /// An open connection without a request.
    struct idle_connection
    {
        std::shared_ptr<store_connection> connection;
        time_point idleSince;
    };

    /// State that the attempts of one call share.
    struct call_context;

    /// An answer of the store and the era that it is of.
    struct store_answer
    {
        http_response response;
        std::uint32_t era = 0;
    };

    auto call(http_request request, bool retryable, sent_state &sent, last_reason &why)
        -> boost::asio::awaitable<std::optional<store_answer>>;
    auto attempt(call_context &state, http_request request, sent_state &sent, last_reason &why)
        -> boost::asio::awaitable<std::optional<store_answer>>;
    auto isOfEarlierEra(std::uint64_t revision) const -> bool;
    auto conflictWithCurrent(std::string kind, std::string name, last_reason &why)
        -> boost::asio::awaitable<write_outcome>;
    auto eraOfAnswer(const http_response &response, std::uint32_t eraAtRequest, last_reason &why)
        -> std::optional<std::uint32_t>;
    auto noteOddEra(std::string_view stated) -> void;
    auto noteRevision(std::uint64_t revision) -> void;
    auto beginUnstatedEra(std::uint64_t listRevision, std::uint64_t knownRevision) -> bool;
    auto write(http_request request, std::string kind, last_reason &why) -> boost::asio::awaitable<write_outcome>;
    auto watchKind(std::string kind, std::uint64_t revision, watch_callback callback)
        -> boost::asio::awaitable<watch_end>;
    auto pollOnce(std::shared_ptr<store_connection> &connection, const std::string &kind, std::uint64_t &revision,
                  watch_callback &callback, last_reason &why) -> boost::asio::awaitable<watch_end>;
    auto takeIdle(const std::string &address) -> std::shared_ptr<store_connection>;
    /// Keeps a connection for reuse.
    auto returnIdle(std::shared_ptr<store_connection> connection) -> void;
    /// Closes all idle connections to \p address.
    auto closeIdle(const std::string &address) -> void;
    auto preferredAddress() const -> std::string;
    /// Prefers the next address, unless another coroutine already switched away from \p failed.
    auto switchAddress(const std::string &failed) -> void;
    auto recordAnswerTime() -> void;

    boost::asio::any_io_executor m_executor;
    store_options m_options;
    counter &m_calls;
    counter &m_failures;
    counter &m_reconnects;
    counter &m_earlierEraAnswers; ///< Answers that were dropped because a later era had begun.
    std::atomic<std::uint32_t> m_era = 0; ///< See era().
    std::atomic<bool> m_statesEra = false; ///< The store stated an era at least once.
    std::atomic<std::uint64_t> m_latestRevision = 0; ///< Of all answers that are not stale on request.
    std::atomic<bool> m_isOddEraLogged = false;
    std::atomic<std::size_t> m_preferred = 0; ///< Index of the preferred address, modulo their number.
    std::atomic<duration::rep> m_lastAnswerTime = 0; ///< Steady clock; 0 before the first valid response.
    std::mutex m_mutex;
    std::deque<idle_connection> m_idle;
};

} // namespace marjoramloom
