#pragma once

#include <array>
#include <boost/asio.hpp>
#include <memory>
#include <string>
#include <vector>

namespace marjoramloom {

/// A TCP relay on loopback whose connections can go silent for good, in one direction, while new ones work. Used on one
/// thread.
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

    /// Relays connections to \p target (127.0.0.1:port) from now on.
    auto setTarget(const std::string &target) -> void
    {
        m_targetPort = static_cast<unsigned short>(std::stoi(target.substr(target.rfind(':') + 1)));
    }

    [[nodiscard]] auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    /// What is sent on connections open now is read and dropped from here on, both ways.
    auto freezeConnections() -> void
    {
        for (const auto &one : m_connections) {
            one->frozen = true;
        }
    }

    /// Only what comes back on connections open now is read and dropped.
    auto freezeAnswers() -> void
    {
        for (const auto &one : m_connections) {
            one->answersFrozen = true;
        }
    }

    /// Ends the connections open now; with a reset where bytes are under way.
    auto closeConnections() -> void
    {
        auto ignored = boost::system::error_code();
        for (const auto &one : m_connections) {
            one->near.close(ignored);
            one->far.close(ignored);
        }
        m_connections.clear();
    }

    /// New connections are silent too until resumed.
    auto setFreezeNew(bool freeze) -> void
    {
        m_freezeNew = freeze;
    }

    [[nodiscard]] auto accepted() const -> std::size_t
    {
        return m_connections.size();
    }

private:
    struct connection
    {
        explicit connection(boost::asio::io_context &context)
            : near(context)
            , far(context)
        {
        }

        tcp::socket near;
        tcp::socket far;
        std::array<char, 4096> up{};
        std::array<char, 4096> down{};
        bool frozen = false;
        bool answersFrozen = false;
    };

    auto acceptNext() -> void
    {
        auto fresh = std::make_shared<connection>(m_context);
        m_acceptor.async_accept(fresh->near, [this, fresh](const boost::system::error_code &failure) {
            if (failure) {
                return;
            }
            auto refused = boost::system::error_code();
            fresh->far.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), m_targetPort), refused);
            fresh->frozen = m_freezeNew;
            m_connections.push_back(fresh);
            pump(fresh, fresh->near, fresh->far, fresh->up);
            pump(fresh, fresh->far, fresh->near, fresh->down);
            acceptNext();
        });
    }

    static auto pump(const std::shared_ptr<connection> &held, tcp::socket &from, tcp::socket &to,
                     std::array<char, 4096> &buffer) -> void
    {
        from.async_read_some(boost::asio::buffer(buffer),
                             [held, &from, &to, &buffer](const boost::system::error_code &failure, std::size_t count) {
                                 auto ignored = boost::system::error_code();
                                 if (failure) {
                                     to.close(ignored);
                                     return;
                                 }
                                 const auto isAnswer = &from == &held->far;
                                 if (!held->frozen && !(isAnswer && held->answersFrozen)) {
                                     boost::asio::write(to, boost::asio::buffer(buffer, count), ignored);
                                 }
                                 pump(held, from, to, buffer);
                             });
    }

    boost::asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    unsigned short m_targetPort = 0;
    std::vector<std::shared_ptr<connection>> m_connections;
    bool m_freezeNew = false;
};

} // namespace marjoramloom
