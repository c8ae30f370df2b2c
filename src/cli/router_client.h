#pragma once

#include "cli/command_line.h"
#include "marjoramloom/cli/run_command.h"
#include "marjoramloom/contract/change_log.h"
#include "marjoramloom/core/last_reason.h"

#include <boost/json/object.hpp>
#include <optional>
#include <string>

namespace marjoramloom {

/// A router's answer to an operator.
struct router_answer
{
    unsigned status = 0; ///< HTTP.
    boost::json::object body;
};

/// The options --router and --key, which every command that talks to a router takes.
auto routerOptions() -> std::vector<command_option>;

/// Client of a router's operators' listener. Blocks; not thread safe.
class router_client
{
public:
    /// Takes address and key from the options, else from MARJORAMLOOM_ROUTER and MARJORAMLOOM_KEY.
    explicit router_client(const command_arguments &arguments);

    /// The answer to GET \p target; nothing where none came.
    auto get(const std::string &target, last_reason &why) -> std::optional<router_answer>;

    /// The answer to POST \p target; nothing where none came: \p why.kind is notSent where that is proved.
    auto post(const std::string &target, const boost::json::object &body, last_reason &why)
        -> std::optional<router_answer>;

    /// The configuration in force at the router.
    auto configurationInForce(last_reason &why) -> std::optional<configuration>;

    /// Commits a change, repeating it with the same id while its outcome is not known.
    auto propose(const proposed_change &proposal, last_reason &why) -> std::optional<router_answer>;

private:
    auto exchange(const std::string &method, const std::string &target, const std::string &body, last_reason &why)
        -> std::optional<router_answer>;

    std::string m_address;
    std::string m_key;
};

/// The exit code that belongs to a failure. Thread safe.
auto exitCodeOf(failure_kind kind) -> exit_code;

/// Prints what failed and what to do next to standard error; returns the exit code. Thread safe.
auto reportFailure(const last_reason &why) -> int;

/// Reason in a router's error answer. Thread safe.
auto reasonOf(const router_answer &answer) -> last_reason;

} // namespace marjoramloom
