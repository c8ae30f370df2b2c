#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace marjoramloom::test {

enum class connection_end {
    keep,
    close,
    reset,
};

/// What a scripted_server does with one request.
struct scripted_answer
{
    std::string bytes;
    connection_end end = connection_end::keep;
};

/// Answers each request by the bytes that a script returns for the request's id. Requests must not have a body. Runs on
/// a thread of its own; its functions are thread safe.
class scripted_server
{
public:
    using script = std::function<scripted_answer(const std::string &id)>;

    explicit scripted_server(script answerFor);
    ~scripted_server();
    scripted_server(const scripted_server &) = delete;
    auto operator=(const scripted_server &) -> scripted_server & = delete;

    [[nodiscard]] auto address() const -> std::string;

    /// Value of the field \p name in the last request with the id \p id; empty if there is none. Names are compared
    /// without their case.
    [[nodiscard]] auto lastField(const std::string &id, const std::string &name) const -> std::string;

    /// Requests that came on a connection that had carried another one before.
    std::atomic<int> onKeptConnection = 0;
    std::atomic<int> requests = 0;

private:
    using tcp = boost::asio::ip::tcp;

    auto acceptAll() -> boost::asio::awaitable<void>;
    auto serve(tcp::socket socket) -> boost::asio::awaitable<void>;
    auto pauseBeforeReset() -> boost::asio::awaitable<void>;

    script m_answerFor;
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    mutable std::mutex m_mutex;
    std::map<std::string, std::string> m_lastHeads; ///< By the request's id.
    std::thread m_thread;
};

} // namespace marjoramloom::test
