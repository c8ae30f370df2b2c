#pragma once

#include "marjoramloom/router/memory_budget.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

namespace marjoramloom {

/// The part of an answer that was read, which counts towards the memory for all answers. Not thread safe.
class answer_buffer
{
public:
    /// Limit of all answers together that are not event streams; they are buffered completely before they are
    /// forwarded.
    static constexpr auto MAX_BUFFERED_BYTES = std::size_t(16) << 20U;

    /// Preconditions: \p total, the bytes of all answers, and \p memory outlive the object.
    answer_buffer(std::size_t &total, connection_memory &memory)
        : m_total(total)
        , m_memory(memory)
    {
    }
    ~answer_buffer()
    {
        m_total -= m_content.size();
        m_memory.hold(memory_use::answer, 0);
    }
    answer_buffer(const answer_buffer &) = delete;
    auto operator=(const answer_buffer &) -> answer_buffer & = delete;

    /// Appends \p part unless the answer would use more than half of the memory that the other answers leave, or the
    /// router has no room for it.
    auto append(std::string_view part) -> bool
    {
        const auto others = m_total - m_content.size();
        const auto left = MAX_BUFFERED_BYTES - std::min(MAX_BUFFERED_BYTES, others);
        if (m_content.size() + part.size() > left / 2) {
            return false;
        }
        const auto wanted = m_content.size() + part.size();
        const auto capacity =
            wanted > m_content.capacity() ? std::max(wanted, 2 * m_content.capacity()) : m_content.capacity();
        if (!m_memory.hold(memory_use::answer, capacity)) {
            m_lacksMemory = true;
            return false;
        }
        m_content.reserve(capacity);
        m_content += part;
        m_total += part.size();
        return true;
    }

    /// Whether append() failed because the router has no room, and not because the answer is too large.
    [[nodiscard]] auto lacksMemory() const -> bool
    {
        return m_lacksMemory;
    }

    [[nodiscard]] auto content() const -> const std::string &
    {
        return m_content;
    }

private:
    std::size_t &m_total;
    connection_memory &m_memory;
    bool m_lacksMemory = false;
    std::string m_content;
};

} // namespace marjoramloom
