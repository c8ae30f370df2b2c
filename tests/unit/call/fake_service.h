#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

namespace marjoramloom::test {

/// Behaviour of a plain service for the requests on one connection.
enum class service_behaviour {
    answer,
    closeBeforeRead, ///< Not executed.
    closeAfterRun, ///< Executed, then closed without an answer.
    closeInAnswer, ///< Executed, and the answer is cut off.
    silentAfterRun, ///< Executed, but never answered; the connection stays open.
    refuseLeaving, ///< Not executed.
    largeAnswer, ///< Executed, and answered with 100,000 bytes.
    answerOnceThenSilent, ///< Only the first request on the connection is answered.
};

/// A plain service in the test process.
class fake_service
{
public:
    explicit fake_service(boost::asio::io_context &context);

    [[nodiscard]] auto address() const -> std::string;
    auto stopListening() -> void;

    std::vector<service_behaviour> plan; ///< Behaviour per connection, in order; `answer` for later ones.
    std::vector<std::string> executed; ///< Ids of the executed requests.

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
