#pragma once

#include "marjoramloom/call/call_control.h"
#include "marjoramloom/call/call_types.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

namespace marjoramloom {

/// A call to a plain service as its caller sent it.
struct plain_request
{
    std::string requestId;
    std::string method;
    std::string target; ///< Path and query, from "/".
    std::string contentType;
    std::string body;
    bool repeatable = true;
    std::string idempotencyKey; ///< The caller's, passed on; empty for none.
    std::string accountName; ///< Passed on; empty for none.
};

/// A plain service's whole answer.
struct plain_answer
{
    std::uint32_t status = 0; ///< HTTP.
    std::string contentType;
    std::string body;
};

/// Time and size limits of one attempt at a plain service.
struct plain_limits
{
    duration connect = std::chrono::seconds(1);
    duration redialAfter = std::chrono::seconds(2); ///< A used connection that stays silent is replaced.
    duration answer = std::chrono::seconds(30);
    std::size_t answerBytes = 4U << 20U;
};

/// How a plain call, or one attempt of it, ended.
struct plain_result
{
    call_state state = call_state::notRun;
    std::optional<plain_answer> answer; ///< Where complete.
    last_reason reason; ///< Where not complete.
    bool leaving = false; ///< The server refused because it is leaving; state is notRun.
    std::uint32_t attempts = 0;
};

/// One attempt to carry out \p request at \p address. A call that is not repeatable uses a connection of its own, so
/// that notRun is proved: the connection was never opened, or the server itself refused as leaving. After the first
/// byte any failure is unknownOutcome. \p connections outlives it; parameters are by value, as a caller may leave.
auto callPlainService(connection_pool &connections, std::string address, plain_request request, plain_limits limits)
    -> boost::asio::awaitable<plain_result>;

/// What a plain call needs to get a place and to be charged.
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

/// Carries out a plain call: waits for a grant, makes the attempt, settles it.
///
/// Another attempt follows where the last one is proved not to have run, or where the call is repeatable and the retry
/// budget allows; never after a call that is not repeatable may have started. Runs on the control's executor;
/// \p environment and \p source outlive it.
template<grant_source Source>
auto runPlainCall(const call_environment &environment, Source &source, std::shared_ptr<call_control> control,
                  plain_work work) -> boost::asio::awaitable<plain_result>;

} // namespace marjoramloom

#include "marjoramloom/call/plain_call.inl"
