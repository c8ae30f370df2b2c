#pragma once

#include "load_run.h"

#include <ostream>

namespace marjoramloom::load {

/// Prints a table of results by account and profile, and a summary line. \p executions holds how often each
/// idempotency key was executed. Returns true if every answer was correct, every answered order was executed and no
/// order was executed twice.
auto printReport(const std::vector<load_outcome> &outcomes, const std::map<std::string, int> &executions,
                 std::ostream &out) -> bool;

} // namespace marjoramloom::load
