#pragma once

#include "cli/router_client.h"
#include "marjoramloom/contract/configuration_file.h"

namespace marjoramloom {

/// Loads the objects of all files. Prints problems to standard error and returns nothing if there are any.
auto loadFiles(const std::vector<std::string> &paths) -> std::optional<std::vector<located_object>>;

/// Returns put operations for the objects that do not exist in \p before or differ from it.
auto planPuts(const configuration &before, const std::vector<located_object> &objects)
    -> std::vector<configuration_operation>;

/// Returns the object with this kind and name; nothing if it does not exist.
auto findObject(const configuration &all, object_kind kind, const std::string &name)
    -> std::optional<configuration_object>;

/// Returns lines that list the keys of \p before that \p operations would change.
auto describe(const configuration &before, const std::vector<configuration_operation> &operations)
    -> std::vector<std::string>;

/// Proposes the operations as a change based on \p before and prints the result. Problems are located in \p objects.
/// Returns the exit code.
auto proposeAndReport(router_client &router, const configuration &before,
                      std::vector<configuration_operation> operations, const std::vector<located_object> &objects,
                      const command_arguments &arguments) -> int;

/// Returns the options of commands that change the configuration: those of routerOptions() and --author.
auto changeOptions() -> std::vector<command_option>;

} // namespace marjoramloom
