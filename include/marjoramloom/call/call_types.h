#pragma once

#include "marjoramloom/core/last_reason.h"
#include "marjoramloom/share/ticket.h"

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>

namespace marjoramloom {

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
template<typename Source>
concept grant_source = requires(Source &source, const ticket &waiting, ticket_id id, double cost, last_reason &why)
{
    // Waits for a grant; nothing where the ticket was refused (why: overloaded or deadlineExceeded).
    {
        source.acquire(waiting, why)
        } -> std::same_as<boost::asio::awaitable<std::optional<grant>>>;
    {
        source.progress(id, cost)
        } -> std::same_as<void>;
    {
        source.settle(id, cost)
        } -> std::same_as<void>;
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
};

} // namespace marjoramloom
