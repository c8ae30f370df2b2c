#pragma once

#include "marjoramloom/core/last_reason.h"
#include "marjoramloom/share/server_placement.h"
#include "marjoramloom/share/ticket.h"

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace marjoramloom {

class call_control;
class connection_pool;
class hedge_policy;
class retry_budget;
class start_gate;

/// How far a call got.
enum class call_state {
    complete, ///< The whole answer was delivered.
    notRun, ///< Proved: no backend server started it.
    unknownOutcome, ///< Bytes were sent; whether it ran is not known.
    unfinished, ///< Part of an answer was delivered and the rest cannot be had.
    cancelled, ///< The caller left.
};

template<>
struct enum_names<call_state>
{
    static constexpr std::array table{
        enum_name<call_state>{ call_state::complete, "complete" },
        enum_name<call_state>{ call_state::notRun, "not_run" },
        enum_name<call_state>{ call_state::unknownOutcome, "unknown_outcome" },
        enum_name<call_state>{ call_state::unfinished, "unfinished" },
        enum_name<call_state>{ call_state::cancelled, "cancelled" },
    };
};

/// A piece of an answer, checked to belong to the request and to be next in order.
struct answer_piece
{
    std::uint64_t sequence = 0; ///< From 0, without gaps over the whole answer.
    std::string text; ///< The generated text of this piece.
    bool last = false;
    std::string finishReason; ///< Of the last piece.
};

/// Receives an answer piece by piece; false means that the caller left.
template<typename Sink>
concept answer_sink = requires(Sink &sink, const answer_piece &piece)
{
    {
        sink.deliver(piece)
        } -> std::same_as<boost::asio::awaitable<bool>>;
};

/// Where granted backend servers come from: the router's ticket queue, or a fake in tests.
///
/// Called on the call's own executor; the source hops to its own where it needs to, and outlives every call.
template<typename Source>
concept grant_source = requires(Source &source, const ticket &waiting, std::shared_ptr<call_control> control,
                                ticket_id id, double cost, last_reason &why)
{
    // A fresh id for the next ticket.
    {
        source.nextTicket()
        } -> std::same_as<ticket_id>;
    // Waits for a grant; nothing where the ticket was refused (why: overloaded or deadlineExceeded) or the control was
    // cancelled (why: cancelled). Until settle(), suspensions and moves of the ticket are signalled to the control.
    {
        source.acquire(waiting, control, why)
        } -> std::same_as<boost::asio::awaitable<std::optional<grant>>>;
    // The request has used `cost` weighted tokens so far.
    {
        source.progress(id, cost)
        } -> std::same_as<void>;
    // The request left its server with `cost` weighted tokens in total.
    {
        source.settle(id, cost)
        } -> std::same_as<void>;
};

/// Weights of the kinds of tokens in one unit of service.
struct token_weights
{
    double prompt = 0.1; ///< Read in one pass, many at once.
    double cachedPrompt = 0.01;
    double generated = 1;
};

/// Time limits of one attempt at a model engine.
struct engine_limits
{
    duration connect = std::chrono::seconds(1);
    duration redialAfter = std::chrono::seconds(2); ///< A silent connection is replaced; doubles while nothing comes.
    duration firstEvent = std::chrono::seconds(30); ///< Then the engine is given up.
    duration betweenEvents = std::chrono::seconds(8); ///< Then the engine is given up.
    duration cancel = std::chrono::seconds(1); ///< Whole cancel request.
};

/// What all calls of a router share. Everything it refers to is thread safe and outlives the calls.
struct call_environment
{
    std::string dataCentre;
    std::function<std::optional<std::string>(object_id)> addressOf; ///< IP:port of a backend server.
    connection_pool *connections = nullptr;
    retry_budget *retries = nullptr; ///< Null: retries are bounded by the profile alone.
    hedge_policy *hedges = nullptr; ///< Null: no hedges.
    start_gate *gate = nullptr; ///< Null: every grant is used.
    std::function<void(const pace_sample &)> onPace;
    std::function<void(object_id)> onLeaving; ///< A server said that it is leaving.
    engine_limits limits;
    token_weights weights;
};

/// A model request as its caller sent it.
struct model_request
{
    std::string requestId;
    std::string accountName;
    object_id account;
    service target;
    profile treatment;
    std::string body; ///< JSON of the completions request.
    std::uint64_t prefixHash = 0;
    double hintTokens = 0; ///< The caller's max_tokens; 0 where absent.
    double expectedCost = 0; ///< Weighted tokens, as learnt for the account and profile.
    time_point arrived;
};

/// How a model call ended.
struct call_result
{
    call_state state = call_state::notRun;
    last_reason reason;
    std::uint64_t promptTokens = 0;
    std::uint64_t generatedTokens = 0;
    std::uint32_t attempts = 0;
    std::uint32_t suspensions = 0;
    std::uint32_t hedges = 0;
    double cost = 0; ///< Weighted tokens of all attempts.
};

} // namespace marjoramloom
