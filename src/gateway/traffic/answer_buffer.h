#pragma once

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

    /// Precondition: \p total, the bytes of all answers, outlives the object.
    explicit answer_buffer(std::size_t &total)
        : m_total(total)
    {
    }
    ~answer_buffer()
    {
        m_total -= m_content.size();
    }
    answer_buffer(const answer_buffer &) = delete;
    auto operator=(const answer_buffer &) -> answer_buffer & = delete;

    /// Appends \p part unless the answer would use more than half of the memory that the other answers leave.
    auto append(std::string_view part) -> bool
    {
        const auto others = m_total - m_content.size();
        const auto left = MAX_BUFFERED_BYTES - std::min(MAX_BUFFERED_BYTES, others);
        if (m_content.size() + part.size() > left / 2) {
            return false;
        }
        m_content += part;
        m_total += part.size();
        return true;
    }

    [[nodiscard]] auto content() const -> const std::string &
    {
        return m_content;
    }

private:
    std::size_t &m_total;
    std::string m_content;
};

} // namespace marjoramloom
