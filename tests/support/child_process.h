#pragma once

#include <map>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace marjoramloom::test {

/// Destination of a child_process's standard output.
enum class child_output {
    pipe, ///< Pipe to the test; see readLine() and readAll().
    logFile, ///< Log file, together with the standard error.
};

/// A process started by a test. The destructor kills and reaps it. Not thread safe.
class child_process
{
public:
    /// Starts \p arguments[0] with \p environment added to the environment. Standard error is appended to \p logFile;
    /// standard output goes to \p output. Throws std::runtime_error if the process cannot be started.
    explicit child_process(const std::vector<std::string> &arguments, const std::string &logFile = "/dev/null",
                           const std::map<std::string, std::string> &environment = {},
                           child_output output = child_output::pipe);
    ~child_process();
    child_process(child_process &&other) noexcept;
    child_process(const child_process &) = delete;
    auto operator=(const child_process &) -> child_process & = delete;
    auto operator=(child_process &&) -> child_process & = delete;

    /// Reads the next line of standard output. No value at its end, or if nothing arrives for \p timeoutMs.
    auto readLine(int timeoutMs) -> std::optional<std::string>;

    /// Reads standard output to its end.
    auto readAll() -> std::string;

    /// Sends a signal, such as SIGKILL, SIGSTOP or SIGTERM.
    auto signal(int number) -> void;

    /// Waits for the process to exit. Returns its exit code, or the negative number of the signal that killed it; no
    /// value after \p timeoutMs.
    auto waitForExit(int timeoutMs) -> std::optional<int>;

    [[nodiscard]] auto running() -> bool;

    /// Most memory that the process has had resident, in kilobytes; 0 if it has exited.
    [[nodiscard]] auto peakMemoryKb() const -> long;

    /// Process id; still the same after the exit.
    [[nodiscard]] auto id() const -> pid_t
    {
        return m_pid;
    }

private:
    pid_t m_pid = -1;
    int m_output = -1;
    std::string m_buffer;
    std::optional<int> m_exit;
};

} // namespace marjoramloom::test
