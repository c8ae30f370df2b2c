#pragma once

#include "load_run.h"

#include <ostream>

namespace marjoramloom::load {

/// Prints a table per account and profile, and the closing line. True where every answer is whole and no order ran
/// twice.
auto printReport(const std::vector<load_outcome> &outcomes, const std::map<std::string, int> &executions,
                 std::ostream &out) -> bool;

} // namespace marjoramloom::load
