#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace marjoramloom {

enum class log_level {
    debug,
    info,
    warning,
    error,
};

/// Sets up log4cxx to write lines of key=value pairs of at least \p level to standard output. Call once, before threads
/// start. Lines are buffered, so that a slow reader of the output never blocks the process; lines beyond a rate limit
/// are dropped.
auto configureLog(log_level level) -> void;

/// Writes as many buffered lines to standard output as is possible without blocking. Call several times a second, and
/// before the process ends. Thread safe.
auto flushLog() -> void;

/// Number of lines dropped since the process started. Thread safe.
auto droppedLogLines() -> std::uint64_t;

/// One structured log line, written when it goes out of scope: `log_line(log_level::info, "grant").with("request",
/// id)`.
///
/// Not thread safe itself. Lines that several threads write at the same time are not interleaved.
class log_line
{
public:
    log_line(log_level level, std::string_view event);
    ~log_line();
    log_line(const log_line &) = delete;
    auto operator=(const log_line &) -> log_line & = delete;

    /// Appends key=value; text is quoted where it is empty or contains white space, quotes or equals signs.
    auto with(std::string_view key, std::string_view value) -> log_line &;
    auto with(std::string_view key, double value) -> log_line &;

    template<std::integral Integer>
    auto with(std::string_view key, Integer value) -> log_line &
    {
        return withRaw(key, std::to_string(value));
    }

private:
    auto withRaw(std::string_view key, std::string_view text) -> log_line &;

    log_level m_level;
    bool m_enabled;
    std::string m_text;
};

} // namespace marjoramloom
