#pragma once

#include "marjoramloom/gateway/platform_feed.h"
#include "marjoramloom/gateway/watch_duty.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <unordered_map>

namespace marjoramloom {

/// Lets a few routers of a data centre watch the platform's store for the others.
///
/// A router that does not watch asks one that does, several times a second, and is told of changes at once in between.
/// A proof that keys are in force counts from the time of the question, so it holds however long the answer took.
/// Belongs to the router's only thread.
class store_relay
{
public:
    /// Ways to another router; what they carry may be lost.
    struct senders
    {
        std::function<void(std::uint64_t router, const store_question &question)> question;
        std::function<void(std::uint64_t router, const store_news &news)> news;
    };

    /// Preconditions: \p feed and \p state outlive the relay.
    store_relay(boost::asio::any_io_executor executor, platform_feed &feed, gateway_state &state, senders sending);

    /// Watches or asks; ends with its executor.
    auto run() -> boost::asio::awaitable<void>;

    /// The other routers are known.
    auto noteJoined() -> void;

    /// Answers \p router.
    auto answer(std::uint64_t router, const store_question &question) -> void;

    /// Takes over what another router told.
    auto take(const store_news &news) -> void;

    /// Something changed: tells the routers that asked lately.
    auto tellFollowers() -> void;

private:
    struct follower
    {
        time_point askedAt;
        std::uint64_t toldUpTo = 0; ///< Revision of the list of backend servers.
    };

    /// Time between two questions; a revocation must be in force within seconds.
    static constexpr duration QUESTION_PERIOD = std::chrono::milliseconds(400);
    /// Part of the keys' lifetime that the proof of a router that watches as it should may be old.
    static constexpr int PROOFS_PER_LIFETIME = 2;
    /// A router that asked this long ago watches itself or is gone.
    static constexpr duration FOLLOWER_MEMORY = std::chrono::milliseconds(2'000);
    /// Questions whose answers still count.
    static constexpr std::size_t OPEN_QUESTIONS = 6;

    auto ask(time_point now) -> void;

    boost::asio::steady_timer m_timer;
    platform_feed &m_feed;
    gateway_state &m_state;
    senders m_sending;
    watch_duty m_duty;
    std::uint64_t m_nextNumber = 0;
    std::map<std::uint64_t, boot_time> m_open; ///< Begin of the questions without an answer.
    std::unordered_map<std::uint64_t, follower> m_followers;
    counter &m_questions;
    counter &m_proofs;
};

} // namespace marjoramloom
