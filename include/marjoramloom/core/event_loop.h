#pragma once

#include "marjoramloom/core/counters.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace marjoramloom {

/// Runs the handlers of \p context until it is stopped or has no work left. An exception that leaves a handler is
/// logged and counted, and ends nothing but the operation that the handler belongs to. Thread safe: several threads may
/// run the same context.
auto runEventLoop(boost::asio::io_context &context, counter_registry &counters) -> void;

/// Runs \p task on \p executor, and starts it again after a short delay if an exception ends it. \p name is the task's
/// name in the log. Thread safe. Preconditions: what \p task refers to and \p counters outlive the executor's context.
auto runTask(const boost::asio::any_io_executor &executor, std::string name, counter_registry &counters,
             std::function<boost::asio::awaitable<void>()> task) -> void;

} // namespace marjoramloom
