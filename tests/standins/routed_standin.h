#pragma once

#include "http_server.h"

#include <chrono>
#include <vector>

namespace standins {

/// Settings of a stand-in of a backend server behind gateway routes.
struct routed_options
{
    std::string name = "server";
    std::int64_t callMs = 0; ///< Duration of a call that is not a stream.
    std::int64_t eventMs = 5; ///< Time before each event of a stream.
    std::size_t slots = 0; ///< Calls that run at once; 0 for no limit.
    std::size_t queueLength = 0; ///< Calls that may wait for a slot; further ones are refused.
};

/// Simulates a backend server behind the gateway's routes. It executes only requests whose X-Expect-Instance header is
/// its name, marks its answers with X-Response-Seal, and answers paths that end with "stream" by an event stream that
/// continues after the request's Last-Event-Id. Not thread safe.
class routed_standin
{
public:
    routed_standin(standin_context &shared, routed_options options);

    auto handle(http_exchange &exchange) -> void_awaitable;
    auto control(http_exchange &exchange, const boost::json::value &document) -> http_reply;

private:
    using header_list = std::vector<std::pair<std::string, std::string>>;

    auto answerHeaders(const http_exchange &exchange) -> header_list;
    auto notExecutedReply(const http_exchange &exchange, http::status status) -> http_reply;
    auto recordExecution(const http_exchange &exchange, std::string state) -> void;
    auto answerCall(http_exchange &exchange) -> void_awaitable;
    auto reserveSlot() -> std::int64_t;
    auto answerWithStream(http_exchange &exchange) -> void_awaitable;

    standin_context &m_shared;
    routed_options m_options;
    std::size_t m_calls = 0; ///< Running and waiting.
    std::size_t m_crashes = 0;
    std::vector<std::chrono::steady_clock::time_point> m_slotFreeAt;
};

} // namespace standins
