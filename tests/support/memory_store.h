#pragma once

#include "marjoramloom/store/object_store.h"
#include "marjoramloom/store/watch_event.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <map>

namespace marjoramloom {

/// Fault that a memory_store applies to a write.
enum class write_fault {
    none,
    refused, ///< Fails as not sent.
    answerLost, ///< Takes effect; the caller gets an unknown outcome.
    lost, ///< Has no effect; the caller gets an unknown outcome.
    late, ///< Takes effect in applyLateWrites(); the caller gets an unknown outcome.
};

/// In-memory object store with fault injection for tests. Not thread safe.
class memory_store
{
public:
    std::deque<write_fault> faults; ///< Faults of the next writes, in order.
    bool down = false; ///< Every call but watch() fails as not sent.
    std::size_t readLagWrites = 0; ///< Number of the latest writes that list() does not show.
    std::vector<stored_object> history; ///< Every object written, in order; no deletions.

    auto get(std::string kind, std::string name, last_reason &why)
        -> boost::asio::awaitable<std::optional<stored_object>>
    {
        if (down) {
            co_return why.fail(failure_kind::notSent, "connect", "memory", "down");
        }
        co_return current(kind, name);
    }

    auto list(std::string kind, last_reason &why) -> boost::asio::awaitable<std::optional<object_list>>
    {
        if (down) {
            co_return why.fail(failure_kind::notSent, "connect", "memory", "down");
        }
        const auto stale = readLagWrites > 0 && readLagWrites <= m_versionsBeforeWrite.size();
        const auto &shown = stale ? m_versionsBeforeWrite[m_versionsBeforeWrite.size() - readLagWrites] : m_objects;
        auto listed = object_list{ m_revision - (stale ? readLagWrites : 0), {} };
        for (const auto &[key, object] : shown) {
            if (key.first == kind) {
                listed.objects.push_back(object);
            }
        }
        co_return listed;
    }

    auto create(std::string kind, std::string name, std::string value, last_reason &why)
        -> boost::asio::awaitable<write_outcome>
    {
        return write({ kind, name, 0, value }, false, why);
    }

    auto update(std::string kind, std::string name, std::string value, std::uint64_t revision, last_reason &why)
        -> boost::asio::awaitable<write_outcome>
    {
        return write({ kind, name, revision, value }, false, why);
    }

    auto remove(std::string kind, std::string name, std::uint64_t revision, last_reason &why)
        -> boost::asio::awaitable<write_outcome>
    {
        return write({ kind, name, revision, {} }, true, why);
    }

    /// Delivers the existing events and ends, unlike a real watch, so that a test can run it to its end.
    auto watch(std::vector<std::string> kinds, std::uint64_t since, watch_callback callback)
        -> boost::asio::awaitable<watch_end>
    {
        for (const auto &event : events) {
            const auto wanted = std::find(kinds.begin(), kinds.end(), event.object.kind) != kinds.end();
            if (wanted && event.revision > since && !callback(event)) {
                break;
            }
        }
        auto timer = boost::asio::steady_timer(co_await boost::asio::this_coro::executor, std::chrono::milliseconds(1));
        co_await timer.async_wait(boost::asio::use_awaitable);
        co_return watch_end::stopped;
    }

    /// Applies the writes with write_fault::late, unless their revision condition fails by now.
    auto applyLateWrites() -> void
    {
        for (auto &[object, isDeletion] : std::exchange(m_lateWrites, {})) {
            applyWrite(object, isDeletion);
        }
    }

    /// The current version of an object; its revision is 0 if it does not exist.
    auto current(const std::string &kind, const std::string &name) const -> stored_object
    {
        const auto found = m_objects.find({ kind, name });
        return found == m_objects.end() ? stored_object{ kind, name, 0, {} } : found->second;
    }

    /// Number of objects of a kind.
    [[nodiscard]] auto count(const std::string &kind) const -> std::size_t
    {
        auto found = std::size_t(0);
        for (const auto &[key, object] : m_objects) {
            found += key.first == kind ? 1 : 0;
        }
        return found;
    }

    std::vector<watch_event> events; ///< Every write, in order.

private:
    auto write(stored_object object, bool isDeletion, last_reason &why) -> boost::asio::awaitable<write_outcome>
    {
        auto fault = write_fault::none;
        if (!faults.empty()) {
            fault = faults.front();
            faults.pop_front();
        }
        if (down || fault == write_fault::refused) {
            why.fail(failure_kind::notSent, "connect", "memory", "down");
            co_return write_outcome{ write_result::notSent, {} };
        }
        if (fault == write_fault::none) {
            co_return applyWrite(object, isDeletion);
        }
        if (fault == write_fault::answerLost) {
            applyWrite(object, isDeletion);
        } else if (fault == write_fault::late) {
            m_lateWrites.emplace_back(object, isDeletion);
        }
        why.fail(failure_kind::unknownOutcome, "read answer", "memory", "lost");
        co_return write_outcome{ write_result::unknown, {} };
    }

    auto applyWrite(stored_object object, bool isDeletion) -> write_outcome
    {
        const auto existing = current(object.kind, object.name);
        if (existing.revision != object.revision) {
            return { write_result::conflict, existing };
        }
        m_versionsBeforeWrite.push_back(m_objects);
        object.revision = ++m_revision;
        const auto key = std::pair(object.kind, object.name);
        if (isDeletion) {
            m_objects.erase(key);
        } else {
            m_objects[key] = object;
            history.push_back(object);
        }
        events.push_back({ isDeletion ? watch_event_kind::remove : watch_event_kind::put, m_revision, object });
        return { write_result::written, object };
    }

    std::uint64_t m_revision = 0;
    std::map<std::pair<std::string, std::string>, stored_object> m_objects;
    std::vector<std::map<std::pair<std::string, std::string>, stored_object>>
        m_versionsBeforeWrite; ///< The objects before each write.
    std::vector<std::pair<stored_object, bool>> m_lateWrites; ///< Objects, and whether they are deletions.
};

} // namespace marjoramloom
