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
    std::size_t bufferBytes = 256U << 10U; ///< Buffered while the reader is slow; lines beyond this are dropped.
    std::size_t urgentBytes = 64U << 10U; ///< Additional buffer space for urgent lines.
    double bytesPerSecond = 400'000; ///< Sustained rate limit: some 2,000 lines a second.
    double burstBytes = 800'000; ///< Largest burst after a period below that rate.
};

/// Writes lines to a file descriptor without ever waiting for its reader. Lines that exceed the buffer or the rate
/// limit (a token bucket) are dropped and counted, and flush() writes the count as a line `event=log_dropped`.
///
/// Thread safe.
class log_sink
{
public:
    using clock = std::chrono::steady_clock;

    /// Precondition: \p descriptor stays open as long as the sink is used.
    log_sink(int descriptor, log_sink_limits limits);

    /// Buffers \p line, which has no line end. An urgent line is exempt from the rate limit and may use
    /// log_sink_limits::urgentBytes.
    auto write(std::string_view line, bool urgent, clock::time_point now) -> void;

    /// Reports dropped lines and writes as much as is possible without blocking. Call several times a second.
    auto flush(clock::time_point now) -> void;

    /// Lines dropped so far.
    [[nodiscard]] auto dropped() const -> std::uint64_t;

private:
    /// Adds the tokens accrued since the last call to the rate limit's bucket.
    auto refill(clock::time_point now) -> void;
    /// Writes buffered bytes until the descriptor would block.
    auto writeAvailable() -> void;
    auto append(std::string_view line) -> void;

    /// A blocking write of up to PIPE_BUF bytes to a pipe that poll() reports as writable does not block.
    static constexpr std::size_t MAX_WRITE_BYTES = 4'096;
    static constexpr std::chrono::milliseconds FLUSH_PERIOD{ 100 };

    mutable std::mutex m_mutex;
    int m_descriptor;
    log_sink_limits m_limits;
    std::string m_buffer;
    std::size_t m_writtenBytes = 0; ///< Bytes at the start of m_buffer that are written already.
    double m_allowance; ///< Tokens of the rate limit's bucket, in bytes; urgent lines may make it negative.
    clock::time_point m_refilledAt;
    clock::time_point m_flushedAt;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0; ///< Part of m_dropped that `event=log_dropped` lines have reported.
};

} // namespace marjoramloom
