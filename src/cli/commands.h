#pragma once

#include "cli/command_line.h"

namespace marjoramloom {

/// A command of the client; `run` returns the exit code.
struct command
{
    command_usage usage;
    int (*run)(const command_arguments &arguments);
};

/// Each function makes the description of one command.
auto makeCheckCommand() -> command;
auto makeApplyCommand() -> command;
auto makeDiffCommand() -> command;
auto makeDeleteCommand() -> command;
auto makeStopCommand() -> command;
auto makeGetCommand() -> command;
auto makeStatusCommand() -> command;
auto makeOrdersCommand() -> command;
auto makeExplainCommand() -> command;

} // namespace marjoramloom
