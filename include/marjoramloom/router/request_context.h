#pragma once

#include "marjoramloom/call/call_types.h"
#include "marjoramloom/core/counters.h"
#include "marjoramloom/core/rcu_cell.h"
#include "marjoramloom/router/router_view.h"
#include "marjoramloom/router/settings.h"
#include "marjoramloom/router/ticket_queue.h"

#include <atomic>

namespace marjoramloom {

/// Objects that the handlers of callers' requests share. All are thread safe and outlive the handlers.
struct request_context
{
    const settings &config;
    rcu_cell<router_view> &view;
    ticket_queue &tickets;
    call_environment &calls;
    counter_registry &counters;
    std::atomic<bool> &ready; ///< The configuration is up to date and the router is not stopping.
};

} // namespace marjoramloom
