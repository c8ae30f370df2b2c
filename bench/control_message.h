#pragma once

#include "marjoramloom/share/dispatcher.h"
#include "marjoramloom/share/server_placement.h"
#include "marjoramloom/share/share_ledger.h"

#include <variant>

namespace marjoramloom::bench {

/// Messages between routers, as the decision code has them. `pool` names the dispatcher that is meant.
struct submit_message
{
    pool_id pool;
    ticket waiting;
};

struct withdraw_message
{
    pool_id pool;
    ticket_id id;
};

struct progress_message
{
    pool_id pool;
    ticket_id id;
    double cost = 0;
};

struct settle_message
{
    pool_id pool;
    ticket_id id;
    double cost = 0;
};

struct digest_message
{
    pool_id to;
    pool_digest digest;
};

struct sample_message
{
    pool_id pool;
    pace_sample sample;
};

using control_message = std::variant<submit_message, withdraw_message, progress_message, settle_message, digest_message,
                                     sample_message, grant, refusal, suspension, pull_request, service_total>;

} // namespace marjoramloom::bench
