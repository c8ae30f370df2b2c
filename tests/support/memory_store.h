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

/// How a memory_store treats its next write.
enum class write_fault {
    none,
    refused, ///< Nothing sent.
    answerLost, ///< Takes effect, but the caller is not told.
    lost, ///< Takes no effect, and the caller is not told.
    late, ///< Takes effect at landLate(), and the caller is not told.
};

/// An object store in memory with faults, for tests of one thread.
class memory_store
{
public:
    std::deque<write_fault> faults; ///< One for each of the next writes.
    bool down = false; ///< Every call fails, with nothing sent.
    std::size_t readsBehind = 0; ///< Lists show what stood so many writes ago.
    std::vector<stored_object> history; ///< Every object written, in order.

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
        const auto stale = readsBehind > 0 && readsBehind <= m_versions.size();
        const auto &shown = stale ? m_versions[m_versions.size() - readsBehind] : m_objects;
        auto listed = object_list{ m_revision - (stale ? readsBehind : 0), {} };
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

    /// Ends at once when everything was delivered, so that a test sees one pass.
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

    /// Writes that are under way take effect now, as far as their conditions hold.
    auto landLate() -> void
    {
        for (auto &[object, removing] : std::exchange(m_late, {})) {
            land(object, removing);
        }
    }

    auto current(const std::string &kind, const std::string &name) const -> stored_object
    {
        const auto found = m_objects.find({ kind, name });
        return found == m_objects.end() ? stored_object{ kind, name, 0, {} } : found->second;
    }

    [[nodiscard]] auto count(const std::string &kind) const -> std::size_t
    {
        auto found = std::size_t(0);
        for (const auto &[key, object] : m_objects) {
            found += key.first == kind ? 1 : 0;
        }
        return found;
    }

    std::vector<watch_event> events;

private:
    auto write(stored_object object, bool removing, last_reason &why) -> boost::asio::awaitable<write_outcome>
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
            co_return land(object, removing);
        }
        if (fault == write_fault::answerLost) {
            land(object, removing);
        } else if (fault == write_fault::late) {
            m_late.emplace_back(object, removing);
        }
        why.fail(failure_kind::unknownOutcome, "read answer", "memory", "lost");
        co_return write_outcome{ write_result::unknown, {} };
    }

    auto land(stored_object object, bool removing) -> write_outcome
    {
        const auto standing = current(object.kind, object.name);
        if (standing.revision != object.revision) {
            return { write_result::conflict, standing };
        }
        m_versions.push_back(m_objects);
        object.revision = ++m_revision;
        const auto key = std::pair(object.kind, object.name);
        if (removing) {
            m_objects.erase(key);
        } else {
            m_objects[key] = object;
            history.push_back(object);
        }
        events.push_back({ removing ? watch_event_kind::remove : watch_event_kind::put, m_revision, object });
        return { write_result::written, object };
    }

    std::uint64_t m_revision = 0;
    std::map<std::pair<std::string, std::string>, stored_object> m_objects;
    std::vector<std::map<std::pair<std::string, std::string>, stored_object>> m_versions; ///< Before each write.
    std::vector<std::pair<stored_object, bool>> m_late;
};

} // namespace marjoramloom
