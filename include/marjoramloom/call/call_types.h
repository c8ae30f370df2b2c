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

/// Final state of a call.
enum class call_state {
    complete, ///< The complete answer was delivered.
    notRun, ///< It is certain that no backend server started the request.
    unknownOutcome, ///< At least part of the request was sent; it is unknown whether it ran.
    unfinished, ///< Part of the answer was delivered, and the rest could not be obtained.
    cancelled, ///< The caller disconnected.
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

/// The next piece of an answer, after the check that it belongs to the request and arrived in order.
struct answer_piece
{
    std::uint64_t sequence = 0; ///< Starts at 0 and has no gaps, also if several engines contribute to the answer.
    std::string text; ///< The generated text of this piece.
    bool last = false;
    std::string finishReason; ///< Set on the last piece only.
};

/// Receives an answer piece by piece. deliver() returns false if the caller disconnected.
template<typename Sink>
concept answer_sink = requires(Sink &sink, const answer_piece &piece)
{
    {
        sink.deliver(piece)
        } -> std::same_as<boost::asio::awaitable<bool>>;
};

/// Grants backend servers to calls: the router's ticket queue, or a fake in tests.
///
/// Its functions are called on the call's own executor, and it switches to another executor where it needs to. It must
/// outlive every call.
template<typename Source>
concept grant_source = requires(Source &source, const ticket &waiting, std::shared_ptr<call_control> control,
                                ticket_id id, double cost, last_reason &why)
{
    // Returns a new ticket id.
    {
        source.nextTicket()
        } -> std::same_as<ticket_id>;
    // Waits for a grant. Returns nothing if the ticket was refused (why: overloaded or deadlineExceeded) or the control
    // was cancelled (why: cancelled). Until settle(), suspensions and moves of the ticket are signalled to the control.
    {
        source.acquire(waiting, control, why)
        } -> std::same_as<boost::asio::awaitable<std::optional<grant>>>;
    // Reports that the request has used `cost` weighted tokens so far.
    {
        source.progress(id, cost)
        } -> std::same_as<void>;
    // Ends the grant; the request used `cost` weighted tokens in total under it.
    {
        source.settle(id, cost)
        } -> std::same_as<void>;
};

/// Cost of one token of each kind, in weighted tokens.
struct token_weights
{
    double prompt = 0.1; ///< Cheaper than a generated token: an engine processes many prompt tokens in one pass.
    double cachedPrompt = 0.01;
    double generated = 1;
};

/// Time limits of one attempt at a model engine.
struct engine_limits
{
    duration connect = std::chrono::seconds(1);
    duration reconnectAfter = std::chrono::seconds(
        2); ///< A silent connection is replaced. Doubles with each reconnect, until the next event.
    duration firstEvent = std::chrono::seconds(30); ///< Maximum wait for the first event before the attempt fails.
    duration betweenEvents = std::chrono::seconds(8); ///< Maximum wait for any later event before the attempt fails.
    duration cancel = std::chrono::seconds(1); ///< For each step of a cancel request.
};

/// State shared by all calls of a router. All objects it refers to must be thread safe and outlive the calls.
struct call_environment
{
    std::string dataCentre;
    std::function<std::optional<std::string>(object_id)> addressOf; ///< IP:port; nothing if not configured.
    connection_pool *connections = nullptr;
    retry_budget *retries = nullptr; ///< Null: only the profile limits retries.
    hedge_policy *hedges = nullptr; ///< Null: no hedging.
    start_gate *gate = nullptr; ///< Null: grants are used without a check for leaving servers.
    std::function<void(const pace_sample &)> onPace;
    std::function<void(object_id)> onLeaving; ///< Called when a server refuses a request because it is leaving.
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
    double expectedCost = 0; ///< Weighted tokens, estimated from earlier requests of the account and profile.
    time_point arrived;
};

/// Outcome of a model call.
struct call_result
{
    call_state state = call_state::notRun;
    last_reason reason;
    std::uint64_t promptTokens = 0;
    std::uint64_t generatedTokens = 0;
    std::uint32_t attempts = 0;
    std::uint32_t suspensions = 0;
    std::uint32_t hedges = 0;
    double cost = 0; ///< Weighted tokens of all attempts together.
};

} // namespace marjoramloom
