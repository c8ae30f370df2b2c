#pragma once

#include "marjoramloom/call/call_control.h"
#include "marjoramloom/call/call_types.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

namespace marjoramloom {

/// A call to a plain (non-model) service as its caller sent it.
struct plain_request
{
    std::string requestId;
    std::string method;
    std::string target; ///< Path and query, from "/".
    std::string contentType;
    std::string body;
    bool repeatable = true; ///< Whether it may run more than once, as set for the service.
    std::string idempotencyKey; ///< The caller's key, forwarded to the service; empty for none.
    std::string accountName; ///< Forwarded to the service; empty for none.
};

/// The complete answer of a plain service.
struct plain_answer
{
    std::uint32_t status = 0; ///< HTTP status.
    std::string contentType;
    std::string body;
};

/// Time and size limits of one attempt at a plain service.
struct plain_limits
{
    duration connect = std::chrono::seconds(1);
    duration reconnectAfter = std::chrono::seconds(2); ///< A reused connection that stays silent is replaced.
    duration answer = std::chrono::seconds(30);
    std::size_t answerBytes = 4U << 20U;
};

/// Outcome of a plain call, or of one attempt of it.
struct plain_result
{
    call_state state = call_state::notRun;
    std::optional<plain_answer> answer; ///< Set if state is complete.
    last_reason reason; ///< Set if state is not complete.
    bool leaving = false; ///< The server refused because it is leaving; state is notRun.
    std::uint32_t attempts = 0;
};

/// Makes one attempt to run \p request on the server at \p address. A request that is not repeatable uses a new
/// connection, so that notRun is certain: the connection was never opened, or the server refused because it is leaving.
/// Any failure after the first byte was sent is unknownOutcome. \p connections must outlive the coroutine; the other
/// parameters are passed by value, because the caller may disconnect before it ends.
auto callPlainService(connection_pool &connections, std::string address, plain_request request, plain_limits limits)
    -> boost::asio::awaitable<plain_result>;

/// Parameters of runPlainCall(): the request and what is needed to get a grant and to charge the account.
struct plain_work
{
    plain_request request;
    std::string accountName;
    object_id account;
    service target;
    profile treatment;
    plain_limits limits;
    time_point arrived;
};

/// Runs a plain call: waits for a grant, makes an attempt and settles the cost.
///
/// A failed attempt is retried, within the retry budget, if it certainly did not run or if the call is repeatable. A
/// call that is not repeatable is never retried once it may have started. Runs on the control's executor;
/// \p environment and \p source must outlive it.
template<grant_source Source>
auto runPlainCall(const call_environment &environment, Source &source, std::shared_ptr<call_control> control,
                  plain_work work) -> boost::asio::awaitable<plain_result>;

} // namespace marjoramloom

#include "marjoramloom/call/plain_call.inl"
