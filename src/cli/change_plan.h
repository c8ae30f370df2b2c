#pragma once

#include "cli/router_client.h"
#include "marjoramloom/contract/configuration_file.h"

namespace marjoramloom {

/// Loads objects of all files; problems are printed to standard error. Nothing where there was one.
auto loadFiles(const std::vector<std::string> &paths) -> std::optional<std::vector<placed_object>>;

/// Puts for those objects that are new or other than in \p before.
auto planPuts(const configuration &before, const std::vector<placed_object> &objects)
    -> std::vector<configuration_operation>;

/// The object of \p kind and \p name; nothing where there is none.
auto findObject(const configuration &all, object_kind kind, const std::string &name)
    -> std::optional<configuration_object>;

/// Lines that tell how \p operations would change \p before, key by key.
auto describe(const configuration &before, const std::vector<configuration_operation> &operations)
    -> std::vector<std::string>;

/// Proposes the operations on top of \p before, and prints the result. Returns the exit code.
auto proposeAndReport(router_client &router, const configuration &before,
                      std::vector<configuration_operation> operations, const std::vector<placed_object> &objects,
                      const command_arguments &arguments) -> int;

/// The option --author, for commands that change the configuration.
auto changeOptions() -> std::vector<command_option>;

} // namespace marjoramloom
