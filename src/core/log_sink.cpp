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
    const auto pendingBytes = m_buffer.size() - m_writtenBytes;
    const auto capacity = m_limits.bufferBytes + (urgent ? m_limits.urgentBytes : 0);
    const auto isOverRate = !urgent && m_allowance < static_cast<double>(line.size());
    if (isOverRate || pendingBytes + line.size() + 1 > capacity) {
        ++m_dropped;
    } else {
        append(line);
    }
    if (now - m_flushedAt >= FLUSH_PERIOD || m_buffer.size() - m_writtenBytes >= MAX_WRITE_BYTES) {
        m_flushedAt = now;
        writeAvailable();
    }
}

auto log_sink::flush(clock::time_point now) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    refill(now);
    if (m_dropped > m_reportedDropped && m_buffer.size() - m_writtenBytes < m_limits.bufferBytes) {
        append("level=WARN event=log_dropped lines=" + std::to_string(m_dropped - m_reportedDropped));
        m_reportedDropped = m_dropped;
    }
    m_flushedAt = now;
    writeAvailable();
}

auto log_sink::dropped() const -> std::uint64_t
{
    const auto lock = std::lock_guard(m_mutex);
    return m_dropped;
}

auto log_sink::refill(clock::time_point now) -> void
{
    const auto elapsedSeconds = std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = now;
    m_allowance = std::min(m_limits.burstBytes, m_allowance + std::max(elapsedSeconds, 0.0) * m_limits.bytesPerSecond);
}

auto log_sink::append(std::string_view line) -> void
{
    m_buffer.append(line).push_back('\n');
    m_allowance -= static_cast<double>(line.size() + 1);
}

auto log_sink::writeAvailable() -> void
{
    while (m_writtenBytes < m_buffer.size()) {
        auto pollEntry = pollfd{ m_descriptor, POLLOUT, 0 };
        if (poll(&pollEntry, 1, 0) <= 0 || (pollEntry.revents & POLLOUT) == 0) {
            break;
        }
        const auto size = std::min(MAX_WRITE_BYTES, m_buffer.size() - m_writtenBytes);
        const auto count = ::write(m_descriptor, m_buffer.data() + m_writtenBytes, size);
        if (count <= 0) {
            // The reader closed its end, so the buffered lines can no longer be delivered.
            m_writtenBytes = errno == EINTR || errno == EAGAIN ? m_writtenBytes : m_buffer.size();
            break;
        }
        m_writtenBytes += static_cast<std::size_t>(count);
    }
    m_buffer.erase(0, m_writtenBytes);
    m_writtenBytes = 0;
}

} // namespace marjoramloom
