#pragma once

#include "marjoramloom/call/call_types.h"
#include "marjoramloom/call/http_connection.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

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
};

/// A plain service's whole answer.
struct plain_answer
{
    std::uint32_t status = 0; ///< HTTP.
    std::string contentType;
    std::string body;
};

/// Time and size limits of one plain call.
struct plain_limits
{
    duration connect = std::chrono::seconds(1);
    duration answer = std::chrono::seconds(30);
    std::size_t answerBytes = 4U << 20U;
};

/// How one attempt at a plain service ended.
struct plain_result
{
    call_state state = call_state::notRun; ///< complete, notRun or unknownOutcome.
    std::optional<plain_answer> answer; ///< Where complete.
    last_reason reason; ///< Where not complete.
    bool leaving = false; ///< The server refused because it is leaving; state is notRun.
};

/// One attempt to carry out \p request at \p address. A call that is not repeatable uses a connection of its own, so
/// that notRun is proved: the connection was never opened, or the server itself refused as leaving. After the first
/// byte any failure is unknownOutcome. Thread safe; \p connections outlives it. Parameters are by value: a caller may
/// leave.
auto callPlainService(connection_pool &connections, std::string address, plain_request request, plain_limits limits)
    -> boost::asio::awaitable<plain_result>;

} // namespace marjoramloom
