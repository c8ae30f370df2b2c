#pragma once

#include "marjoramloom/contract/configuration_store.h"
#include "marjoramloom/contract/snapshot_store.h"
#include "marjoramloom/store/retry_backoff.h"
#include "marjoramloom/store/watch_event.h"

#include <boost/asio/awaitable.hpp>
#include <vector>

namespace marjoramloom {

/// A store of objects that can be watched, too.
template<typename Store>
concept watched_store = object_store<Store> && requires(Store &store, std::vector<std::string> kinds,
                                                        std::uint64_t since, watch_callback callback)
{
    {
        store.watch(kinds, since, callback)
        } -> std::same_as<boost::asio::awaitable<watch_end>>;
};

/// Kind of the platform objects that hold changes.
inline const auto changeKind = std::string("configuration_change");

/// Keeps a configuration store up to date from the platform: reads all changes, then watches.
///
/// Reads that are older than what the store has change nothing. run() belongs to one coroutine; the rest is thread
/// safe.
template<watched_store Platform>
class configuration_watcher
{
public:
    /// Precondition: all outlive the watcher.
    configuration_watcher(Platform &platform, configuration_store &store, std::uint64_t seed);

    /// Runs until stop(). Off duty it reads the platform once, until that succeeds, and then waits for duty.
    auto run() -> boost::asio::awaitable<void>;

    /// Whether this router watches the platform, rather than hearing of changes from peers only.
    auto setOnDuty(bool onDuty) -> void
    {
        m_onDuty.store(onDuty, std::memory_order_release);
    }

    /// Ends run() at its next step.
    auto stop() -> void
    {
        m_stopped.store(true, std::memory_order_release);
    }

    /// Reads the platform's changes once. False where the platform gave no clear answer.
    auto refresh(last_reason &why) -> boost::asio::awaitable<bool>;

private:
    auto applyListed(std::vector<stored_object> objects) -> bool;
    auto onEvent(const watch_event &event) -> bool;
    static auto raise(std::atomic<std::uint64_t> &value, std::uint64_t least) -> void;
    auto pause(std::chrono::milliseconds wait) -> boost::asio::awaitable<void>;

    Platform &m_platform;
    configuration_store &m_store;
    snapshot_store<Platform> m_snapshots;
    retry_backoff m_backoff;
    std::atomic<std::uint64_t> m_listedRevision = 0; ///< Everything up to here was applied.
    std::atomic<std::uint64_t> m_floor = 0;
    std::atomic<bool> m_onDuty = true;
    std::atomic<bool> m_stopped = false;
};

} // namespace marjoramloom

#include "marjoramloom/contract/configuration_watcher.inl"
