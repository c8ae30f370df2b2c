#pragma once

#include "marjoramloom/contract/configuration_watcher.h"

namespace marjoramloom {

/// How often and how far changes are folded into a snapshot.
struct compaction_options
{
    std::uint64_t changesPerSnapshot = 256;
    std::uint64_t changesKept = 64; ///< Last ones that stay on the platform beside the snapshot.
    std::chrono::milliseconds period{ 10'000 };
};

/// Folds old changes on the platform into snapshots, so that a cold start reads a bounded amount.
///
/// A duty that several routers may hold at once: the snapshot's head moves forward only, by conditional updates.
/// run() belongs to one coroutine.
template<object_store Platform>
class configuration_compactor
{
public:
    /// Precondition: platform and store outlive it.
    configuration_compactor(Platform &platform, configuration_store &store, compaction_options options)
        : m_snapshots(platform)
        , m_store(store)
        , m_options(options)
    {
    }

    auto setOnDuty(bool onDuty) -> void
    {
        m_onDuty.store(onDuty, std::memory_order_release);
    }

    auto stop() -> void
    {
        m_stopped.store(true, std::memory_order_release);
    }

    /// Compacts whenever it is due, while on duty, until stop().
    auto run() -> boost::asio::awaitable<void>;

    /// Compacts once where it is due. False where that failed; nothing is lost then.
    auto compact(last_reason &why) -> boost::asio::awaitable<bool>;

private:
    snapshot_store<Platform> m_snapshots;
    configuration_store &m_store;
    compaction_options m_options;
    std::atomic<bool> m_onDuty = false;
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
        const auto onDuty = m_onDuty.load(std::memory_order_acquire);
        const auto done = !onDuty || co_await compact(why);
        if (!done) {
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
        const auto floor = snapshot.sequence - std::min(m_options.changesKept, snapshot.sequence);
        const auto saved = co_await m_snapshots.save(snapshot, floor, why);
        if (!saved) {
            co_return false;
        }
        head = co_await m_snapshots.readHead(why);
        if (!head) {
            co_return false;
        }
        co_await m_snapshots.removeOld(*head, changeKind, why);
    }
    co_return true;
}

} // namespace marjoramloom
