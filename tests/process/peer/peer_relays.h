#pragma once

#include "unit/peer/tcp_relay.h"

#include <boost/asio/io_context.hpp>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace marjoramloom::test {

/// TCP relays in front of the peer ports of a fleet's routers, run by a thread of their own.
class peer_relays
{
public:
    peer_relays()
        : m_work(boost::asio::make_work_guard(m_context))
        , m_thread([this] { m_context.run(); })
    {
    }

    ~peer_relays()
    {
        m_context.stop();
        m_thread.join();
    }

    peer_relays(const peer_relays &) = delete;
    auto operator=(const peer_relays &) -> peer_relays & = delete;

    /// Runs \p action on the relays' thread and returns its result.
    template<typename Action>
    auto onThread(Action action)
    {
        auto result = std::promise<decltype(action())>();
        boost::asio::post(m_context, [&] { result.set_value(action()); });
        return result.get_future().get();
    }

    /// Returns the address of the relay to \p target, which is created on first use.
    auto addressFor(const std::string &target) -> std::string
    {
        return onThread([this, target] {
            auto &relay = m_relays[target];
            if (!relay) {
                relay = std::make_unique<tcp_relay>(m_context);
                relay->setTarget(target);
            }
            return relay->address();
        });
    }

    /// Drops all data on open connections for good, and on new ones until resume().
    auto cut(const std::string &target) -> void
    {
        onThread([this, target] {
            m_relays.at(target)->freezeConnections();
            m_relays.at(target)->setFreezeNew(true);
            return 0;
        });
    }

    /// Drops the data sent back on open connections; new ones work.
    auto cutAnswers(const std::string &target) -> void
    {
        onThread([this, target] {
            m_relays.at(target)->freezeAnswers();
            return 0;
        });
    }

    /// Closes open connections; new ones work.
    auto reset(const std::string &target) -> void
    {
        onThread([this, target] {
            m_relays.at(target)->closeConnections();
            return 0;
        });
    }

    /// Lets new connections work again; old ones stay unresponsive.
    auto resume(const std::string &target) -> void
    {
        onThread([this, target] {
            m_relays.at(target)->setFreezeNew(false);
            return 0;
        });
    }

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::map<std::string, std::unique_ptr<tcp_relay>> m_relays;
    std::thread m_thread;
};

} // namespace marjoramloom::test
