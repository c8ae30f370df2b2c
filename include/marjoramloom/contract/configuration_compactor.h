#pragma once

#include "marjoramloom/contract/configuration_watcher.h"

namespace marjoramloom {

/// When snapshots are written and how many changes are retained besides.
struct compaction_options
{
    std::uint64_t changesPerSnapshot = 256; ///< Changes since the last snapshot that lead to a new one.
    std::uint64_t changesRetained = 64; ///< Latest changes that are not deleted when a snapshot includes them.
    std::chrono::milliseconds period{ 10'000 }; ///< Between checks whether a snapshot is needed.
};

/// Replaces old changes on the platform with snapshots, so that a cold start reads a bounded amount of data.
///
/// Several routers may do so at once: the head of the snapshot is updated conditionally and only to a higher sequence.
/// run() must be called by one coroutine only; the other functions are thread safe if the platform is.
template<object_store Platform>
class configuration_compactor
{
public:
    /// Precondition: \p platform and \p store outlive the compactor.
    configuration_compactor(Platform &platform, configuration_store &store, compaction_options options)
        : m_snapshots(platform)
        , m_store(store)
        , m_options(options)
    {
    }

    /// Sets whether this router is designated to compact changes.
    auto setDesignated(bool designated) -> void
    {
        m_designated.store(designated, std::memory_order_release);
    }

    /// Ends run() after its current step.
    auto stop() -> void
    {
        m_stopped.store(true, std::memory_order_release);
    }

    /// Calls compact() once per period while this router is designated, until stop().
    auto run() -> boost::asio::awaitable<void>;

    /// Writes a snapshot and deletes obsolete changes if enough changes were committed since the last snapshot. Returns
    /// false on failure; no changes are lost then.
    auto compact(last_reason &why) -> boost::asio::awaitable<bool>;

private:
    snapshot_store<Platform> m_snapshots;
    configuration_store &m_store;
    compaction_options m_options;
    std::atomic<bool> m_designated = false;
    std::atomic<bool> m_stopped = false;
};

template<object_store Platform>
auto configuration_compactor<Platform>::run() -> boost::asio::awaitable<void>
{
    auto timer = boost::asio::steady_timer(co_await boost::asio::this_coro::executor);
    while (!m_stopped.load(std::memory_order_acquire)) {
        timer.expires_after(m_options.period);
        co_await timer.async_wait(boost::asio::use_awaitable);
        auto why = last_reason();
        const auto designated = m_designated.load(std::memory_order_acquire);
        const auto succeeded = !designated || co_await compact(why);
        if (!succeeded) {
            log_line(log_level::warning, "compaction_failed").with("reason", why.text());
        }
    }
}

template<object_store Platform>
auto configuration_compactor<Platform>::compact(last_reason &why) -> boost::asio::awaitable<bool>
{
    auto head = co_await m_snapshots.readHead(why);
    if (!head) {
        co_return false;
    }
    const auto snapshot = m_store.snapshot();
    if (snapshot.sequence >= head->sequence + m_options.changesPerSnapshot) {
        const auto floor = snapshot.sequence - std::min(m_options.changesRetained, snapshot.sequence);
        const auto saved = co_await m_snapshots.save(snapshot, floor, why);
        if (!saved) {
            co_return false;
        }
        head = co_await m_snapshots.readHead(why);
        if (!head) {
            co_return false;
        }
        co_await m_snapshots.removeObsolete(*head, changeKind, why);
    }
    co_return true;
}

} // namespace marjoramloom
