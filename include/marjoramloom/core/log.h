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

/// Sets up log4cxx for the process: lines of key=value to standard output from \p level on. Call once, before threads
/// start. Lines are buffered: a slow reader of the output never holds the process up, and lines beyond a rate are
/// dropped.
auto configureLog(log_level level) -> void;

/// Writes buffered lines as far as their reader takes them at once. Call several times a second, and before the process
/// ends. Thread safe.
auto flushLog() -> void;

/// Lines that were dropped so far. Thread safe.
auto droppedLogLines() -> std::uint64_t;

/// One structured log line, written when it goes out of scope: `log_line(log_level::info, "grant").with("request",
/// id)`.
///
/// Not thread safe itself; lines of several threads do not mix.
class log_line
{
public:
    log_line(log_level level, std::string_view event);
    ~log_line();
    log_line(const log_line &) = delete;
    auto operator=(const log_line &) -> log_line & = delete;

    /// Adds key=value; text is quoted where it holds spaces or quotes.
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
