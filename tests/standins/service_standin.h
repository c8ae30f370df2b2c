#pragma once

#include "http_server.h"

namespace standins {

/// Settings of a plain service stand-in.
struct service_options
{
    std::string name = "service";
    std::int64_t callMs = 0; ///< Duration of each call.
};

/// Simulates a plain service (one that is no model). Executes a request each time that it receives it, also if it is a
/// duplicate, so that duplicate executions show in the record. Not thread safe.
class service_standin
{
public:
    service_standin(standin_context &shared, service_options options);

    auto handle(http_exchange &exchange) -> void_awaitable;
    auto control(http_exchange &exchange, const boost::json::value &document) -> http_reply;

private:
    auto execute(execution_entry entry) -> http_reply;

    standin_context &m_shared;
    service_options m_options;
    std::uint64_t m_executions = 0;
};

} // namespace standins
