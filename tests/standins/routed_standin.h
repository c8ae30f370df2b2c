#pragma once

#include "http_server.h"

namespace standins {

struct routed_options
{
    std::string name = "server";
    std::int64_t callMs = 0; ///< Duration of a call that is no stream.
    std::int64_t eventMs = 5; ///< Time before each event of a stream.
};

/// Stand-in of a backend server of the users' platform: it answers only requests that name it, seals its answers, and
/// streams where the path ends with "stream", going on after the event that the caller names. Not thread safe.
class routed_standin
{
public:
    routed_standin(standin_context &shared, routed_options options);

    auto handle(http_exchange &exchange) -> nothing_awaitable;
    auto control(http_exchange &exchange, const boost::json::value &document) -> http_reply;

private:
    using header_list = std::vector<std::pair<std::string, std::string>>;

    auto answerHeaders(const http_exchange &exchange) const -> header_list;
    auto note(const http_exchange &exchange, std::string state) -> void;
    auto answerWhole(http_exchange &exchange) -> nothing_awaitable;
    auto answerStream(http_exchange &exchange) -> nothing_awaitable;

    standin_context &m_shared;
    routed_options m_options;
};

} // namespace standins
