#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

namespace marjoramloom::test {

/// What a plain service does with the requests on one connection.
enum class service_behaviour {
    answer,
    closeBeforeRead, ///< Not executed.
    closeAfterRun, ///< Executed, then closed without an answer.
    closeInAnswer, ///< Executed, and the answer is cut off.
    silentAfterRun,
    refuseLeaving, ///< Not executed.
    largeAnswer,
    answerOnceThenSilent,
};

/// A plain service in the test's own process.
class fake_service
{
public:
    explicit fake_service(boost::asio::io_context &context);

    [[nodiscard]] auto address() const -> std::string;
    auto stopListening() -> void;

    std::vector<service_behaviour> plan; ///< Of its connections, in order; then `answer`.
    std::vector<std::string> executed; ///< Request ids.

private:
    using socket = boost::asio::ip::tcp::socket;

    auto accept() -> boost::asio::awaitable<void>;
    auto serve(std::shared_ptr<socket> peer, service_behaviour behaviour) -> boost::asio::awaitable<void>;

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::size_t m_accepted = 0;
    std::vector<std::shared_ptr<socket>> m_silent;
};

} // namespace marjoramloom::test
