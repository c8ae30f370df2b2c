#pragma once

#include "unit/peer/tcp_relay.h"

#include <boost/asio/io_context.hpp>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace marjoramloom::test {

/// TCP relays before the peer ports of a fleet's routers, on a thread of their own.
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

    /// Runs \p action on the relays' thread and returns what it returned.
    template<typename Action>
    auto onThread(Action action)
    {
        auto result = std::promise<decltype(action())>();
        boost::asio::post(m_context, [&] { result.set_value(action()); });
        return result.get_future().get();
    }

    /// The address of the relay to \p target; made on first use.
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

    /// Connections open now go silent for good; new ones too, until resume().
    auto cut(const std::string &target) -> void
    {
        onThread([this, target] {
            m_relays.at(target)->freezeConnections();
            m_relays.at(target)->setFreezeNew(true);
            return 0;
        });
    }

    /// What comes back on connections open now is lost; new ones work.
    auto cutAnswers(const std::string &target) -> void
    {
        onThread([this, target] {
            m_relays.at(target)->freezeAnswers();
            return 0;
        });
    }

    /// Ends connections open now; new ones work.
    auto reset(const std::string &target) -> void
    {
        onThread([this, target] {
            m_relays.at(target)->closeConnections();
            return 0;
        });
    }

    /// New connections work again; old ones stay silent.
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
