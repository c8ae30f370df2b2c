#include "marjoramloom/core/log_sink.h"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <unistd.h>

namespace marjoramloom {

log_sink::log_sink(int descriptor, log_sink_limits limits)
    : m_descriptor(descriptor)
    , m_limits(limits)
    , m_allowance(limits.burstBytes)
{
}

auto log_sink::write(std::string_view line, bool urgent, clock::time_point now) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    refill(now);
    const auto waiting = m_buffer.size() - m_written;
    const auto room = m_limits.bufferBytes + (urgent ? m_limits.urgentBytes : 0);
    const auto isOverRate = !urgent && m_allowance < static_cast<double>(line.size());
    if (isOverRate || waiting + line.size() + 1 > room) {
        ++m_dropped;
    } else {
        append(line);
    }
    if (now - m_flushedAt >= FLUSH_PERIOD || m_buffer.size() - m_written >= PIECE_BYTES) {
        m_flushedAt = now;
        drain();
    }
}

auto log_sink::flush(clock::time_point now) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    refill(now);
    if (m_dropped > m_reported && m_buffer.size() - m_written < m_limits.bufferBytes) {
        append("level=WARN event=log_dropped lines=" + std::to_string(m_dropped - m_reported));
        m_reported = m_dropped;
    }
    m_flushedAt = now;
    drain();
}

auto log_sink::dropped() const -> std::uint64_t
{
    const auto lock = std::lock_guard(m_mutex);
    return m_dropped;
}

auto log_sink::refill(clock::time_point now) -> void
{
    const auto passed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = now;
    m_allowance = std::min(m_limits.burstBytes, m_allowance + std::max(passed, 0.0) * m_limits.bytesPerSecond);
}

auto log_sink::append(std::string_view line) -> void
{
    m_buffer.append(line).push_back('\n');
    m_allowance -= static_cast<double>(line.size() + 1);
}

auto log_sink::drain() -> void
{
    while (m_written < m_buffer.size()) {
        auto wanted = pollfd{ m_descriptor, POLLOUT, 0 };
        if (poll(&wanted, 1, 0) <= 0 || (wanted.revents & POLLOUT) == 0) {
            break;
        }
        const auto size = std::min(PIECE_BYTES, m_buffer.size() - m_written);
        const auto count = ::write(m_descriptor, m_buffer.data() + m_written, size);
        if (count <= 0) {
            // Nobody reads any more: there is nowhere left to tell it.
            m_written = errno == EINTR || errno == EAGAIN ? m_written : m_buffer.size();
            break;
        }
        m_written += static_cast<std::size_t>(count);
    }
    m_buffer.erase(0, m_written);
    m_written = 0;
}

} // namespace marjoramloom
