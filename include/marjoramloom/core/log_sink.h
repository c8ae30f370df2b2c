#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace marjoramloom {

/// Limits of a log_sink.
struct log_sink_limits
{
    std::size_t bufferBytes = 256U << 10U; ///< Held while the reader is slow; what goes beyond is dropped.
    std::size_t urgentBytes = 64U << 10U; ///< Held in addition for urgent lines.
    double bytesPerSecond = 400'000; ///< Longest lasting rate: some 2,000 lines a second.
    double burstBytes = 800'000; ///< Written at once after a quiet time.
};

/// Writes lines to a file descriptor without ever waiting for its reader. What does not fit is dropped and counted, and
/// the count is written as a line of its own.
///
/// Thread safe.
class log_sink
{
public:
    using clock = std::chrono::steady_clock;

    /// Precondition: \p descriptor stays open as long as the sink is used.
    log_sink(int descriptor, log_sink_limits limits);

    /// Takes a line without its end. Urgent lines are dropped last.
    auto write(std::string_view line, bool urgent, clock::time_point now) -> void;

    /// Hands on as much as the reader takes at once. Call several times a second.
    auto flush(clock::time_point now) -> void;

    /// Lines dropped so far.
    [[nodiscard]] auto dropped() const -> std::uint64_t;

private:
    auto refill(clock::time_point now) -> void;
    auto drain() -> void;
    auto append(std::string_view line) -> void;

    /// A pipe takes this much at once whenever it takes anything.
    static constexpr std::size_t PIECE_BYTES = 4'096;
    static constexpr std::chrono::milliseconds FLUSH_PERIOD{ 100 };

    mutable std::mutex m_mutex;
    int m_descriptor;
    log_sink_limits m_limits;
    std::string m_buffer;
    std::size_t m_written = 0; ///< Bytes at the start of m_buffer that were handed on.
    double m_allowance;
    clock::time_point m_refilledAt;
    clock::time_point m_flushedAt;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reported = 0; ///< Of m_dropped, told by a line.
};

} // namespace marjoramloom
