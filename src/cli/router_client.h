#pragma once

#include "cli/command_line.h"
#include "marjoramloom/cli/run_command.h"
#include "marjoramloom/contract/change_log.h"
#include "marjoramloom/core/last_reason.h"

#include <boost/json/object.hpp>
#include <optional>
#include <string>

namespace marjoramloom {

/// A router's response to an operator's request.
struct router_answer
{
    unsigned status = 0; ///< HTTP status code.
    boost::json::object body;
};

/// Returns the options of all commands that connect to a router: --router, --key and --json.
auto routerOptions() -> std::vector<command_option>;

/// Client of the operators' listener of a router. Its functions block. Not thread safe.
class router_client
{
public:
    /// Takes the address and key from the options, or from MARJORAMLOOM_ROUTER and MARJORAMLOOM_KEY if they are absent.
    explicit router_client(const command_arguments &arguments);

    /// Connects to \p address with the operators' key from the options.
    router_client(const command_arguments &arguments, std::string address);

    /// Sends GET \p target. Returns nothing and sets \p why if there is no response.
    auto get(const std::string &target, last_reason &why) -> std::optional<router_answer>;

    /// Sends POST \p target. Returns nothing and sets \p why if there is no response; its kind is notSent only if
    /// nothing was sent.
    auto post(const std::string &target, const boost::json::object &body, last_reason &why)
        -> std::optional<router_answer>;

    /// Reads the active configuration of the router.
    auto readConfiguration(last_reason &why) -> std::optional<configuration>;

    /// Proposes a change. Retries with the same id if the router was not reached or the outcome is not known.
    auto propose(const proposed_change &proposal, last_reason &why) -> std::optional<router_answer>;

private:
    auto exchange(const std::string &method, const std::string &target, const std::string &body, last_reason &why)
        -> std::optional<router_answer>;

    std::string m_address;
    std::string m_key;
};

/// Returns the exit code for a failure. Thread safe.
auto exitCodeOf(failure_kind kind) -> exit_code;

/// Prints the failure and a hint to standard error; returns the exit code. Thread safe.
auto reportFailure(const last_reason &why) -> int;

/// Returns the reason in a router's error response. Thread safe.
auto reasonOf(const router_answer &answer) -> last_reason;

} // namespace marjoramloom
