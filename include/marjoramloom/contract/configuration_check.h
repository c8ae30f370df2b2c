#pragma once

#include "marjoramloom/contract/configuration_change.h"
#include "marjoramloom/contract/configuration_problem.h"

namespace marjoramloom {

/// Everything wrong with \p all as a whole: references to objects that do not exist, keys and addresses used twice,
/// contradicting values. Thread safe.
auto checkConfiguration(const configuration &all) -> configuration_problems;

/// Everything wrong with \p operations themselves: deletions of what does not exist, an object named twice, too many
/// operations. Thread safe.
auto checkOperations(const configuration &before, const std::vector<configuration_operation> &operations)
    -> configuration_problems;

} // namespace marjoramloom
