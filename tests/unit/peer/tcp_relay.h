#pragma once

#include <array>
#include <boost/asio.hpp>
#include <memory>
#include <string>
#include <vector>

namespace marjoramloom {

/// A TCP relay on loopback that can drop all data of its connections, also in one direction only, while new ones work.
/// Must be used on one thread.
class tcp_relay
{
public:
    using tcp = boost::asio::ip::tcp;

    explicit tcp_relay(boost::asio::io_context &context)
        : m_context(context)
        , m_acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        acceptNext();
    }

    /// Relays new connections to \p target (127.0.0.1:port).
    auto setTarget(const std::string &target) -> void
    {
        m_targetPort = static_cast<unsigned short>(std::stoi(target.substr(target.rfind(':') + 1)));
    }

    [[nodiscard]] auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    /// Reads and drops all further data of the open connections, in both directions.
    auto freezeConnections() -> void
    {
        for (const auto &one : m_connections) {
            one->frozen = true;
        }
    }

    /// Reads and drops further data that the target sends on the open connections.
    auto freezeAnswers() -> void
    {
        for (const auto &one : m_connections) {
            one->answersFrozen = true;
        }
    }

    /// Closes the open connections; peers see a reset where data is in transit.
    auto closeConnections() -> void
    {
        auto ignored = boost::system::error_code();
        for (const auto &one : m_connections) {
            one->clientSide.close(ignored);
            one->targetSide.close(ignored);
        }
        m_connections.clear();
    }

    /// Sets whether new connections drop all data, too.
    auto setFreezeNew(bool freeze) -> void
    {
        m_freezeNew = freeze;
    }

    [[nodiscard]] auto accepted() const -> std::size_t
    {
        return m_connections.size();
    }

private:
    /// A relayed connection.
    struct connection
    {
        explicit connection(boost::asio::io_context &context)
            : clientSide(context)
            , targetSide(context)
        {
        }

        tcp::socket clientSide;
        tcp::socket targetSide;
        std::array<char, 4096> up{};
        std::array<char, 4096> down{};
        bool frozen = false;
        bool answersFrozen = false;
    };

    auto acceptNext() -> void
    {
        auto created = std::make_shared<connection>(m_context);
        m_acceptor.async_accept(created->clientSide, [this, created](const boost::system::error_code &failure) {
            if (failure) {
                return;
            }
            auto refused = boost::system::error_code();
            created->targetSide.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), m_targetPort), refused);
            created->frozen = m_freezeNew;
            m_connections.push_back(created);
            pump(created, created->clientSide, created->targetSide, created->up);
            pump(created, created->targetSide, created->clientSide, created->down);
            acceptNext();
        });
    }

    static auto pump(const std::shared_ptr<connection> &connectionState, tcp::socket &from, tcp::socket &to,
                     std::array<char, 4096> &buffer) -> void
    {
        from.async_read_some(
            boost::asio::buffer(buffer),
            [connectionState, &from, &to, &buffer](const boost::system::error_code &failure, std::size_t count) {
                auto ignored = boost::system::error_code();
                if (failure) {
                    to.close(ignored);
                    return;
                }
                const auto isAnswer = &from == &connectionState->targetSide;
                if (!connectionState->frozen && !(isAnswer && connectionState->answersFrozen)) {
                    boost::asio::write(to, boost::asio::buffer(buffer, count), ignored);
                }
                pump(connectionState, from, to, buffer);
            });
    }

    boost::asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    unsigned short m_targetPort = 0;
    std::vector<std::shared_ptr<connection>> m_connections;
    bool m_freezeNew = false;
};

} // namespace marjoramloom
