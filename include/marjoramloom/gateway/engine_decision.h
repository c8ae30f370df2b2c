#pragma once

#include "marjoramloom/gateway/engine_parts.h"
#include "marjoramloom/gateway/gateway_state.h"
#include "marjoramloom/gateway/server_choice.h"

#include <string>

namespace marjoramloom {

/// What a place at an engine is asked for.
struct placement_query
{
    std::string service;
    engine_part part; ///< Engines that may be chosen.
    prompt_outline prompt;
    std::uint64_t account = 0;
    duration objective{}; ///< To the first event.
    tried_servers failed; ///< Where the request was just tried in vain; not chosen again.
    bool begun = false; ///< A server has had the request before: it goes on wherever it can, and is not refused.
};

/// An engine for a prompt, or a refusal.
struct engine_decision
{
    std::optional<chosen_server> chosen; ///< Empty where the request is refused.
    bool everyoneFull = false; ///< The refusal is for want of places, not of time.
};

/// Decides by what this router knows: the engine, and whether the request is worth its wait. Nothing where no engine of
/// the service can be used.
auto decideEngine(gateway_state &state, const placement_query &query, time_point now, last_reason &why)
    -> std::optional<engine_decision>;

} // namespace marjoramloom
