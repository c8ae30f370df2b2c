#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "marjoramloom/contract/configuration_codec.h"
#include "marjoramloom/core/log.h"

namespace marjoramloom {

namespace watcher_limits {
constexpr auto minRetryDelay = std::chrono::milliseconds(100);
constexpr auto maxRetryDelay = std::chrono::milliseconds(3'000);
constexpr auto roleCheckInterval = std::chrono::milliseconds(250);
} // namespace watcher_limits

template<watched_store Platform>
configuration_watcher<Platform>::configuration_watcher(Platform &platform, configuration_store &store,
                                                       std::uint64_t seed)
    : m_platform(platform)
    , m_store(store)
    , m_snapshots(platform)
    , m_backoff(watcher_limits::minRetryDelay, watcher_limits::maxRetryDelay, seed)
{
}

template<watched_store Platform>
auto configuration_watcher<Platform>::run() -> boost::asio::awaitable<void>
{
    auto everRead = false;
    while (!m_stopped.load(std::memory_order_acquire)) {
        if (everRead && !m_designated.load(std::memory_order_acquire)) {
            co_await pause(watcher_limits::roleCheckInterval);
            continue;
        }
        auto why = last_reason();
        const auto read = co_await refresh(why);
        if (!read) {
            log_line(log_level::warning, "configuration_read_failed").with("reason", why.text());
            co_await pause(m_backoff.next());
            continue;
        }
        everRead = true;
        m_backoff.reset();
        if (m_designated.load(std::memory_order_acquire)) {
            auto kinds = std::vector<std::string>{ changeKind, snapshotKind };
            auto callback = watch_callback([this](const watch_event &event) { return onEvent(event); });
            co_await m_platform.watch(std::move(kinds), m_listedRevision, std::move(callback));
        }
    }
}

template<watched_store Platform>
auto configuration_watcher<Platform>::refresh(last_reason &why) -> boost::asio::awaitable<bool>
{
    auto listed = co_await m_platform.list(changeKind, why);
    if (!listed) {
        co_return false;
    }
    // The head is read after the list. A change that was created under the name of a deleted one is then recognized,
    // as its sequence is not above the floor.
    const auto head = co_await m_snapshots.readHead(why);
    if (!head) {
        co_return false;
    }
    raiseTo(m_floor, head->floor);
    if (head->floor > m_store.sequence()) {
        const auto value = co_await m_snapshots.load(*head, why);
        if (!value) {
            co_return false;
        }
        m_store.offer(head->sequence, *value, change_source::platform);
    }
    const auto complete = applyListed(std::move(listed->objects));
    if (!complete) {
        why.fail(failure_kind::unavailable, "apply changes", "platform", "a change is missing in the list");
        co_return false;
    }
    raiseTo(m_listedRevision, listed->revision);
    m_store.noteLoaded();
    co_return true;
}

template<watched_store Platform>
auto configuration_watcher<Platform>::applyListed(std::vector<stored_object> objects) -> bool
{
    std::sort(objects.begin(), objects.end(),
              [](const auto &left, const auto &right) { return left.name < right.name; });
    auto complete = true;
    for (const auto &object : objects) {
        const auto sequence = changeSequence(object.name);
        if (sequence && *sequence > m_floor) {
            const auto result = m_store.offer(*sequence, object.value, change_source::platform);
            complete = complete && result != offer_result::gap;
        }
    }
    return complete;
}

template<watched_store Platform>
auto configuration_watcher<Platform>::onEvent(const watch_event &event) -> bool
{
    raiseTo(m_listedRevision, event.revision);
    if (event.kind == watch_event_kind::put && event.object.kind == snapshotKind) {
        const auto head = parseSnapshotHead(event.object);
        raiseTo(m_floor, head ? head->floor : 0);
    }
    if (event.kind == watch_event_kind::put && event.object.kind == changeKind) {
        const auto sequence = changeSequence(event.object.name);
        if (sequence && *sequence > m_floor
            && m_store.offer(*sequence, event.object.value, change_source::platform) == offer_result::gap) {
            return false;
        }
    }
    const auto behind = m_floor > m_store.sequence();
    return !behind && m_designated.load(std::memory_order_acquire) && !m_stopped.load(std::memory_order_acquire);
}

template<watched_store Platform>
auto configuration_watcher<Platform>::raiseTo(std::atomic<std::uint64_t> &value, std::uint64_t minimum) -> void
{
    auto seen = value.load();
    while (seen < minimum && !value.compare_exchange_weak(seen, minimum)) {}
}

template<watched_store Platform>
auto configuration_watcher<Platform>::pause(std::chrono::milliseconds wait) -> boost::asio::awaitable<void>
{
    auto timer = boost::asio::steady_timer(co_await boost::asio::this_coro::executor, wait);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace marjoramloom
