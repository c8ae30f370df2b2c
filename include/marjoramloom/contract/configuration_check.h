#pragma once

#include "marjoramloom/contract/configuration_change.h"
#include "marjoramloom/contract/configuration_problem.h"

namespace marjoramloom {

/// Returns all problems of the configuration \p all: references to objects that do not exist, duplicate keys and
/// addresses, contradicting values. Thread safe.
auto checkConfiguration(const configuration &all) -> configuration_problems;

/// Returns all problems of \p operations: deletions of objects that do not exist in \p before, several operations on
/// one object, no or too many operations. Thread safe.
auto checkOperations(const configuration &before, const std::vector<configuration_operation> &operations)
    -> configuration_problems;

} // namespace marjoramloom
