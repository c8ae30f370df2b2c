#pragma once

#include "marjoramloom/share/dispatcher.h"
#include "marjoramloom/share/server_placement.h"
#include "marjoramloom/share/share_ledger.h"

#include <variant>

namespace marjoramloom::bench {

/// A new ticket for the dispatcher of the pool.
struct submit_message
{
    pool_id pool;
    ticket submittedTicket;
};

/// Withdraws a ticket that still waits.
struct withdraw_message
{
    pool_id pool;
    ticket_id id;
};

/// Reports the weighted tokens that a running request has used so far.
struct progress_message
{
    pool_id pool;
    ticket_id id;
    double cost = 0;
};

/// Ends a granted ticket with its final cost in weighted tokens.
struct settle_message
{
    pool_id pool;
    ticket_id id;
    double cost = 0;
};

/// Sends the digest of one dispatcher to the dispatcher of another pool.
struct digest_message
{
    pool_id receiver;
    pool_digest digest;
};

/// Reports the observed pace of a backend server.
struct sample_message
{
    pool_id pool;
    pace_sample sample;
};

/// Any message that routers send each other.
using control_message = std::variant<submit_message, withdraw_message, progress_message, settle_message, digest_message,
                                     sample_message, grant, refusal, suspension, pull_request, service_total>;

} // namespace marjoramloom::bench
