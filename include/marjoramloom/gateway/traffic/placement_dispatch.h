#pragma once

#include "marjoramloom/gateway/decisions/engine_decision.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace marjoramloom {

/// A dispatcher's answer to a placement query of another router.
struct placement_answer
{
    std::uint64_t number = 0; ///< Of the query.
    std::uint64_t sequence = 0; ///< Of the dispatcher's placements for the querying router; 0 if refused.
    std::uint64_t server = 0; ///< Incarnation of the engine; 0 if the request is refused.
    std::uint32_t prefillTokens = 0;
    duration wait{};
    duration firstEvent{};
    std::uint32_t running = 0;
    std::uint32_t candidates = 0;
    std::uint64_t grant = 0; ///< Of a place at a plain server, from slot_grants::add(); 0 for none.
    std::uint64_t router = 0; ///< Router id of the dispatcher; not part of the message.
    std::uint64_t memoryGrant = 0; ///< Of KV memory at the engine, from memory_grants::add(); 0 for none.
    double memoryUse = 0; ///< Fraction of the engine's KV memory that is committed with the request.
    std::optional<stated_level> stated; ///< Absent for plain services, or if the dispatcher knows too little.
};

/// Lets one router, the dispatcher, place all prompts of a shard of a service's engines one after the other.
///
/// Without it, routers that get prompts at the same moment would all choose the same idle engines. The dispatcher is
/// the first responsive router in the roster's dispatch order. It holds no durable state, and two dispatchers at once
/// are harmless. A router that gets no answer within ANSWER_TIMEOUT decides from its own load data, and skips a
/// dispatcher that repeatedly does not answer; meanwhile it places nothing for accounts that are above the level which
/// dispatchers stated last. Not thread safe: belongs to the router's only thread.
class placement_dispatch
{
public:
    using send_query = std::function<void(std::uint64_t router, std::uint64_t number, const placement_query &query)>;

    /// Preconditions: \p state outlives this object; \p send and \p sendRelease deliver a message to another router, or
    /// lose it silently.
    placement_dispatch(boost::asio::any_io_executor executor, gateway_state &state, send_query send,
                       held_grants::send_release sendRelease = {});

    /// The id of the dispatcher of \p shard of \p service, as far as this router knows.
    auto dispatcherOf(const std::string &service, std::uint32_t shard, time_point now) -> std::uint64_t;

    /// The dispatcher's decision, or this router's own if the dispatcher does not answer in time. Returns nothing, with
    /// the reason in \p why, if no engine can be used. A query with a trace takes no place at the dispatcher.
    auto decide(const placement_query &query, last_reason &why)
        -> boost::asio::awaitable<std::optional<engine_decision>>;

    /// Decides for the router with the incarnation \p queryingRouter. Returns nothing if this router knows no usable
    /// engine; the querying router then decides itself.
    auto answer(std::uint64_t queryingRouter, std::uint64_t number, const placement_query &query,
                time_point now = system_clock_source().now()) -> std::optional<placement_answer>;

    /// Completes the query that \p answer, from the router incarnation \p dispatcher, belongs to.
    auto handleAnswer(std::uint64_t dispatcher, const placement_answer &answer) -> void;

    /// Ends a grant of this dispatcher for a request of the router with the incarnation \p router.
    auto handleRelease(std::uint64_t router, const slot_release &release) -> void;

    /// This router's place in the order of the routers that answer for trials of the quarantined \p block, from 0.
    auto trialRank(std::uint64_t block, time_point now) -> std::size_t;

    /// The grants that this router holds from dispatchers.
    [[nodiscard]] auto heldGrants() const -> const held_grants &;

    /// The grants of KV memory that this router holds from dispatchers.
    [[nodiscard]] auto heldMemory() const -> const held_grants &;

    /// The sequence number of the last placement received from each dispatcher, by its incarnation.
    [[nodiscard]] auto lastSequences() const -> const std::map<std::uint64_t, std::uint64_t> &;

private:
    struct pending_query
    {
        explicit pending_query(const boost::asio::any_io_executor &executor)
            : timer(executor)
        {
        }
        boost::asio::steady_timer timer;
        std::optional<placement_answer> answer;
        std::shared_ptr<slot_lease> lease; ///< Of the place that the answer grants; null for none.
        std::shared_ptr<slot_lease> memoryLease; ///< Of the KV memory that the answer grants; null for none.
    };

    /// Allows for several round trips between data centres.
    static constexpr duration ANSWER_TIMEOUT = std::chrono::milliseconds(25);
    /// A dispatcher that leaves this many queries in a row unanswered is skipped for SKIP_TIME in favour of the next.
    static constexpr std::uint32_t MAX_UNANSWERED_QUERIES = 2;
    static constexpr duration SKIP_TIME = std::chrono::milliseconds(400);
    /// With this many dispatchers skipped, the router decides from its own load data.
    static constexpr std::size_t MAX_SKIPPED_DISPATCHERS = 3;

    /// Quarantined blocks are divided into this many groups, whose trials different routers make.
    static constexpr std::uint32_t TRIAL_GROUPS = 16;

    /// Fraction of the fleet whose load a dispatcher has to know to state a level.
    static constexpr double MIN_KNOWN_FRACTION = 0.5;

    struct dispatcher_choice
    {
        std::uint64_t router = 0;
        std::size_t skipped = 0; ///< Routers before it that did not answer lately.
    };
    /// What a query was about, for statements in its answer that comes too late.
    struct asked_query
    {
        std::uint64_t shard = 0; ///< From dispatcher_levels::shardId().
        std::uint64_t account = 0;
    };
    /// Queries of which statements are still accepted.
    static constexpr std::size_t MAX_ASKED_QUERIES = 512;

    struct dispatcher_status
    {
        std::uint32_t unansweredQueries = 0;
        time_point skippedUntil{};
    };

    auto chooseDispatcher(const std::string &service, std::uint32_t shard, time_point now) -> dispatcher_choice;
    auto noteStated(const placement_answer &answer) -> void;
    auto refuseAboveLevel(const placement_query &query, last_reason &why) -> bool;
    auto queryDispatcher(std::uint64_t dispatcher, const placement_query &query)
        -> boost::asio::awaitable<std::shared_ptr<pending_query>>;
    auto decideLocally(const placement_query &query, bool isDispatcher, last_reason &why)
        -> std::optional<engine_decision>;
    auto toDecision(const pending_query &answered, last_reason &why) const -> std::optional<engine_decision>;
    static auto makeLease(const std::shared_ptr<held_grants> &held, std::uint64_t dispatcher, std::uint64_t router,
                          std::uint64_t grant) -> std::shared_ptr<slot_lease>;
    /// Fraction of the routers whose load this router knows, itself included.
    [[nodiscard]] auto ownFraction() const -> double;
    [[nodiscard]] auto knownFraction() const -> double;

    boost::asio::any_io_executor m_executor;
    gateway_state &m_state;
    send_query m_send;
    std::uint64_t m_nextNumber = 0; ///< Of the latest query.
    std::deque<asked_query> m_askedQueries; ///< The latest ones, in the order of their numbers.
    std::map<std::uint64_t, std::shared_ptr<pending_query>> m_pendingQueries; ///< By the query's number.
    std::map<std::uint64_t, std::uint64_t> m_lastSequences;
    std::unordered_map<std::uint64_t, dispatcher_status> m_dispatcherStatus;
    std::shared_ptr<held_grants> m_heldGrants;
    std::shared_ptr<held_grants> m_heldMemory; ///< Ended with the next report; there is no release message.
    counter &m_decidedByDispatcher;
    counter &m_decidedLocally;
    counter &m_refusedAboveLevel;
};

} // namespace marjoramloom
