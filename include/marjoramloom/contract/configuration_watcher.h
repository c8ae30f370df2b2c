#pragma once

#include "marjoramloom/contract/configuration_store.h"
#include "marjoramloom/contract/snapshot_store.h"
#include "marjoramloom/store/retry_backoff.h"
#include "marjoramloom/store/watch_event.h"

#include <boost/asio/awaitable.hpp>
#include <vector>

namespace marjoramloom {

/// An object store that also supports watching objects for changes.
template<typename Store>
concept watched_store = object_store<Store> && requires(Store &store, std::vector<std::string> kinds,
                                                        std::uint64_t since, watch_callback callback)
{
    {
        store.watch(kinds, since, callback)
        } -> std::same_as<boost::asio::awaitable<watch_end>>;
};

/// Kind of the platform objects that store changes.
inline const auto changeKind = std::string("configuration_change");

/// Keeps a configuration store up to date with the platform: reads all changes, then watches for new ones.
///
/// Stale reads have no effect, since the store ignores changes that it has already applied. run() must be called by one
/// coroutine only; the other functions are thread safe.
template<watched_store Platform>
class configuration_watcher
{
public:
    /// \p seed randomizes the retry delays. Precondition: \p platform and \p store outlive the watcher.
    configuration_watcher(Platform &platform, configuration_store &store, std::uint64_t seed);

    /// Reads the platform and watches it until stop(). While this router is not designated, it only retries until one
    /// read has succeeded.
    auto run() -> boost::asio::awaitable<void>;

    /// Sets whether this router watches the platform. Other routers receive changes from their peers only.
    auto setDesignated(bool designated) -> void
    {
        m_designated.store(designated, std::memory_order_release);
    }

    /// Ends run() after its current step.
    auto stop() -> void
    {
        m_stopped.store(true, std::memory_order_release);
    }

    /// Reads and applies all changes on the platform once. Returns false if a read failed or a change was missing.
    auto refresh(last_reason &why) -> boost::asio::awaitable<bool>;

private:
    /// Applies the listed changes in order of their sequence. Returns false if a change is missing.
    auto applyListed(std::vector<stored_object> objects) -> bool;
    /// Applies an event of the watch. Returns false to end the watch: if changes have to be listed again, or if run()
    /// is stopped or the router is no longer designated.
    auto onEvent(const watch_event &event) -> bool;
    /// Raises \p value to \p minimum if it is below.
    static auto raiseTo(std::atomic<std::uint64_t> &value, std::uint64_t minimum) -> void;
    auto pause(std::chrono::milliseconds wait) -> boost::asio::awaitable<void>;

    Platform &m_platform;
    configuration_store &m_store;
    snapshot_store<Platform> m_snapshots;
    retry_backoff m_backoff;
    std::atomic<std::uint64_t> m_listedRevision = 0; ///< Platform revision up to which all changes were applied.
    std::atomic<std::uint64_t> m_floor = 0; ///< Floor of the latest snapshot; changes up to it are ignored.
    std::atomic<bool> m_designated = true;
    std::atomic<bool> m_stopped = false;
};

} // namespace marjoramloom

#include "marjoramloom/contract/configuration_watcher.inl"
