#pragma once

#include "marjoramloom/core/last_reason.h"
#include "marjoramloom/gateway/engine_parts.h"
#include "marjoramloom/gateway/gateway_state.h"
#include "marjoramloom/gateway/routed_request.h"

#include <set>

namespace marjoramloom {

/// Runs of backend servers at which a request was tried in vain.
using tried_servers = std::set<std::uint64_t>;

/// A backend server for one send of a request, and what was known when it was chosen.
struct chosen_server
{
    server_directory::server_ptr server;
    std::uint32_t tokensToRead = 0; ///< Prompt tokens that the server is expected to read.
    duration wait{}; ///< Expected time until the server begins with the request.
    duration firstEvent{}; ///< Expected time to the first event; 0 for plain services.
    std::uint32_t running = 0; ///< Requests known to be at the server.
    std::size_t candidates = 0;
};

/// One of \p route's services, drawn by their weights.
auto chooseService(const route_rule &route, boost::random::mt19937_64 &random) -> const std::string &;

/// The engine in \p part of \p service for \p prompt that is not among \p tried. Nothing where none is left or all are
/// full: the reason's kind tells which (notFound, overloaded). Precondition: the service is one of engines.
auto chooseEngine(gateway_state &state, const routed_service &service, const engine_part &part,
                  const prompt_outline &prompt, const tried_servers &tried, time_point now, last_reason &why)
    -> std::optional<chosen_server>;

/// The same for a plain service.
auto choosePlain(gateway_state &state, const routed_service &service, const tried_servers &tried, time_point now,
                 last_reason &why) -> std::optional<chosen_server>;

} // namespace marjoramloom
