#pragma once

#include <map>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace marjoramloom::test {

/// Where the standard output of a child_process goes.
enum class child_output {
    pipe, ///< To the test, which reads it.
    logFile, ///< To the same file as its standard error.
};

/// A process that a test started; killed and reaped when this object ends. Not thread safe.
class child_process
{
public:
    /// Starts \p arguments[0] with \p environment added; its standard error goes to \p logFile, its standard output
    /// where \p output says. Precondition: the program exists.
    explicit child_process(const std::vector<std::string> &arguments, const std::string &logFile = "/dev/null",
                           const std::map<std::string, std::string> &environment = {},
                           child_output output = child_output::pipe);
    ~child_process();
    child_process(child_process &&other) noexcept;
    child_process(const child_process &) = delete;
    auto operator=(const child_process &) -> child_process & = delete;
    auto operator=(child_process &&) -> child_process & = delete;

    /// The next line of its standard output, or nothing at its end or after \p timeoutMs.
    auto readLine(int timeoutMs) -> std::optional<std::string>;

    /// All of its standard output up to its end.
    auto readAll() -> std::string;

    /// Sends a signal, such as SIGKILL, SIGSTOP or SIGTERM.
    auto signal(int number) -> void;

    /// Waits for its end. Returns its exit code, or nothing after \p timeoutMs; a signal's number comes as negative.
    auto waitForExit(int timeoutMs) -> std::optional<int>;

    [[nodiscard]] auto running() -> bool;

private:
    pid_t m_pid = -1;
    int m_output = -1;
    std::string m_buffer;
    std::optional<int> m_exit;
};

} // namespace marjoramloom::test
