#pragma once

#include "marjoramloom/gateway/engine_decision.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace marjoramloom {

/// An answer to a placement query, between routers.
struct placement_answer
{
    std::uint64_t number = 0; ///< Of the query.
    std::uint64_t sequence = 0; ///< Of the dispatcher's placements for the asking router.
    std::uint64_t server = 0; ///< Run of an engine; 0 where the request is refused.
    std::uint32_t tokensToRead = 0;
    duration wait{};
    duration firstEvent{};
    std::uint32_t running = 0;
    std::uint32_t candidates = 0;
};

/// Lets one router, the dispatcher, place all prompts of a part of a service's engines one after the other.
///
/// The load it answers: prompts that arrive at many routers in the same moment would all find the same engines idle.
/// Which router dispatches follows from the routers that answer, in the order of the roster; it holds nothing that must
/// last, and two dispatchers at once do no harm. A router that gets no answer within a few tens of milliseconds decides
/// by its own view, and asks no further for a while. Belongs to the router's only thread.
class placement_dispatch
{
public:
    using send_query = std::function<void(std::uint64_t router, std::uint64_t number, const placement_query &query)>;

    /// Preconditions: \p state outlives the dispatch. \p send delivers a query to another router, or loses it.
    placement_dispatch(boost::asio::any_io_executor executor, gateway_state &state, send_query send);

    /// The router that dispatches for \p part of \p service, as far as this one can tell.
    auto dispatcherOf(const std::string &service, std::uint32_t part, time_point now) -> std::uint64_t;

    /// The dispatcher's decision, or this router's own where the dispatcher gives none in time. Nothing where no engine
    /// can be used.
    auto decide(const placement_query &query, last_reason &why)
        -> boost::asio::awaitable<std::optional<engine_decision>>;

    /// Decides for another router, of the incarnation \p asking. Nothing where this router cannot tell: the other one
    /// then decides itself.
    auto answer(std::uint64_t asking, std::uint64_t number, const placement_query &query)
        -> std::optional<placement_answer>;

    /// Takes an answer from the dispatcher of the incarnation \p dispatcher.
    auto take(std::uint64_t dispatcher, const placement_answer &answer) -> void;

    /// The last placement heard from each dispatcher's incarnation.
    [[nodiscard]] auto heard() const -> const std::map<std::uint64_t, std::uint64_t> &;

private:
    struct waiting_query
    {
        explicit waiting_query(const boost::asio::any_io_executor &executor)
            : timer(executor)
        {
        }
        boost::asio::steady_timer timer;
        std::optional<placement_answer> answer;
    };

    /// Longest wait for an answer: some round trips between data centres.
    static constexpr duration ANSWER_LIMIT = std::chrono::milliseconds(25);
    /// A dispatcher that left this many queries in a row unanswered is passed over for PASS_TIME, in favour of the
    /// next.
    static constexpr std::uint32_t MISSES_ALLOWED = 2;
    static constexpr duration PASS_TIME = std::chrono::milliseconds(400);
    /// Dispatchers that are asked before this router decides by its own view.
    static constexpr std::size_t DISPATCHERS_TRIED = 3;

    struct asked_router
    {
        std::uint32_t misses = 0;
        time_point passedOverUntil{};
    };

    auto ask(std::uint64_t dispatcher, const placement_query &query)
        -> boost::asio::awaitable<std::optional<placement_answer>>;
    auto toDecision(const placement_answer &answer, last_reason &why) const -> std::optional<engine_decision>;

    boost::asio::any_io_executor m_executor;
    gateway_state &m_state;
    send_query m_send;
    std::uint64_t m_nextNumber = 0;
    std::map<std::uint64_t, std::shared_ptr<waiting_query>> m_waiting; ///< By the query's number.
    std::map<std::uint64_t, std::uint64_t> m_heard;
    std::unordered_map<std::uint64_t, asked_router> m_asked;
    counter &m_answered;
    counter &m_missed;
};

} // namespace marjoramloom
