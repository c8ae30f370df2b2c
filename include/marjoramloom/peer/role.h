#pragma once

#include "marjoramloom/core/enum_names.h"
#include "marjoramloom/peer/member.h"

#include <map>
#include <string>
#include <vector>

namespace marjoramloom {

/// Task that one router of a data centre performs for all of its routers.
///
/// Assignment is best effort: while membership views differ, a role may have two holders or none. No safety guarantee
/// depends on it.
enum class role_kind {
    dispatcher, ///< Grants the tickets of a pool.
    watcher, ///< Watches the platform and relays its updates; the second-ranked router is the standby.
    gateway, ///< Holds the link to another data centre. Unrelated to the code in gateway/.
    statusReporter, ///< Writes the data centre's status to the platform.
};

template<>
struct enum_names<role_kind>
{
    static constexpr std::array table{
        enum_name<role_kind>{ role_kind::dispatcher, "dispatcher" },
        enum_name<role_kind>{ role_kind::watcher, "watcher" },
        enum_name<role_kind>{ role_kind::gateway, "gateway" },
        enum_name<role_kind>{ role_kind::statusReporter, "status_reporter" },
    };
};

/// Identifies one role of one data centre.
struct role_key
{
    role_kind kind = role_kind::dispatcher;
    std::string dataCentre;
    std::string subject; ///< Service id for a dispatcher, name of the other data centre for a gateway; otherwise empty.
};

/// Returns the dispatcher role of \p pool. Thread safe.
auto dispatcherRole(const pool_id &pool) -> role_key;

/// Returns the role of the gateway from data centre \p from to data centre \p to. The other end of the link has the
/// role with both names swapped. Thread safe.
auto gatewayRole(const std::string &from, const std::string &to) -> role_key;

/// Ranks the members that can hold the role \p key, best first, by rendezvous hashing of their instance names: a member
/// that joins or leaves moves only the roles that it holds.
///
/// Only members of the role's data centre are ranked. Leaving members come last, but still qualify, so that a data
/// centre that stops as a whole can finish its work. For dispatchers, members that are not ready come after the ready
/// ones. Thread safe.
auto rankRoleCandidates(const std::vector<member> &members, const role_key &key) -> std::vector<member>;

/// Groups members by data centre: searching one group for a role holder is faster than searching all members. Thread
/// safe.
auto groupByDataCentre(const std::vector<member> &members) -> std::map<std::string, std::vector<member>>;

/// Returns the incarnation of the first member of rankRoleCandidates(), or 0 if there is none. Thread safe.
auto findRoleHolder(const std::vector<member> &members, const role_key &key) -> incarnation_id;

} // namespace marjoramloom
