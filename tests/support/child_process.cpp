#include "support/child_process.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <poll.h>
#include <spawn.h>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

extern char **environ;

namespace marjoramloom::test {

namespace {

auto pointersOf(std::vector<std::string> &texts) -> std::vector<char *>
{
    auto pointers = std::vector<char *>();
    for (auto &text : texts) {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    return pointers;
}

auto environmentWith(const std::map<std::string, std::string> &added) -> std::vector<std::string>
{
    auto all = std::vector<std::string>();
    for (auto **entry = environ; *entry; ++entry) {
        const auto text = std::string(*entry);
        if (!added.contains(text.substr(0, text.find('=')))) {
            all.push_back(text);
        }
    }
    for (const auto &[name, value] : added) {
        all.push_back(name + "=" + value);
    }
    return all;
}

} // namespace

child_process::child_process(const std::vector<std::string> &arguments, const std::string &logFile,
                             const std::map<std::string, std::string> &environment, child_output output)
{
    int pipeEnds[2] = { -1, -1 };
    if (pipe2(pipeEnds, O_CLOEXEC) != 0) {
        throw std::runtime_error("cannot create a pipe for a child process");
    }
    auto actions = posix_spawn_file_actions_t();
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    const auto target = output == child_output::pipe ? pipeEnds[1] : STDERR_FILENO;
    posix_spawn_file_actions_adddup2(&actions, target, STDOUT_FILENO);
    auto texts = arguments;
    auto variables = environmentWith(environment);
    const auto failed = posix_spawn(&m_pid, texts[0].c_str(), &actions, nullptr, pointersOf(texts).data(),
                                    pointersOf(variables).data());
    posix_spawn_file_actions_destroy(&actions);
    close(pipeEnds[1]);
    m_output = pipeEnds[0];
    if (failed != 0) {
        close(m_output);
        throw std::runtime_error("cannot start " + texts[0]);
    }
}

child_process::child_process(child_process &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
    , m_output(std::exchange(other.m_output, -1))
    , m_buffer(std::move(other.m_buffer))
    , m_exit(other.m_exit)
{
}

child_process::~child_process()
{
    if (m_pid > 0 && !m_exit) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
    if (m_output >= 0) {
        close(m_output);
    }
}

auto child_process::readLine(int timeoutMs) -> std::optional<std::string>
{
    while (true) {
        const auto end = m_buffer.find('\n');
        if (end != std::string::npos) {
            auto line = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 1);
            return line;
        }
        auto readable = pollfd{ m_output, POLLIN, 0 };
        char bytes[4096];
        if (poll(&readable, 1, timeoutMs) <= 0) {
            return std::nullopt;
        }
        const auto count = read(m_output, bytes, sizeof(bytes));
        if (count <= 0) {
            return std::nullopt;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
    }
}

auto child_process::readAll() -> std::string
{
    char bytes[4096];
    for (auto count = read(m_output, bytes, sizeof(bytes)); count > 0; count = read(m_output, bytes, sizeof(bytes))) {
        m_buffer.append(bytes, static_cast<std::size_t>(count));
    }
    return std::exchange(m_buffer, {});
}

auto child_process::signal(int number) -> void
{
    if (running()) {
        kill(m_pid, number);
    }
}

auto child_process::waitForExit(int timeoutMs) -> std::optional<int>
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    while (running()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return m_exit;
}

auto child_process::running() -> bool
{
    if (m_exit || m_pid <= 0) {
        return false;
    }
    auto status = 0;
    if (waitpid(m_pid, &status, WNOHANG) == 0) {
        return true;
    }
    m_exit = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return false;
}

auto child_process::peakMemoryKb() const -> long
{
    auto status = std::ifstream("/proc/" + std::to_string(m_pid) + "/status");
    auto word = std::string();
    while (status >> word) {
        if (word == "VmHWM:") {
            auto kilobytes = 0L;
            status >> kilobytes;
            return kilobytes;
        }
    }
    return 0;
}

} // namespace marjoramloom::test
