#pragma once

#include "marjoramloom/core/enum_names.h"
#include "marjoramloom/peer/member.h"

#include <map>
#include <string>
#include <vector>

namespace marjoramloom {

/// Work that one router of a data centre does for the others.
///
/// Soft: while views differ, a duty may be held twice or by none. No safety promise depends on it.
enum class duty_kind {
    dispatcher, ///< Grants the tickets of a pool.
    watcher, ///< Watches the platform and relays what it reads; the second in order is its reserve.
    gateway, ///< Holds the link to another data centre.
    statusReporter, ///< Writes the data centre's status to the platform.
};

template<>
struct enum_names<duty_kind>
{
    static constexpr std::array table{
        enum_name<duty_kind>{ duty_kind::dispatcher, "dispatcher" },
        enum_name<duty_kind>{ duty_kind::watcher, "watcher" },
        enum_name<duty_kind>{ duty_kind::gateway, "gateway" },
        enum_name<duty_kind>{ duty_kind::statusReporter, "status_reporter" },
    };
};

/// One duty of one data centre.
struct duty_key
{
    duty_kind kind = duty_kind::dispatcher;
    std::string dataCentre;
    std::string subject; ///< The service of a dispatcher, the other data centre of a gateway; else empty.
};

/// The duty of dispatching \p pool. Thread safe.
auto dispatcherDuty(const pool_id &pool) -> duty_key;

/// The duty of linking \p from to \p to; the other end is the reverse duty. Thread safe.
auto gatewayDuty(const std::string &from, const std::string &to) -> duty_key;

/// Members in the order in which they hold \p key, by rendezvous hashing of their instance names: a member that comes
/// or goes moves no duty but its own.
///
/// Only members of the duty's data centre count. Leaving ones come last, so that a data centre that stops as a whole
/// still finishes; for dispatchers those that are not ready come after the ready ones. Thread safe.
auto dutyOrder(const std::vector<member> &members, const duty_key &key) -> std::vector<member>;

/// Members by data centre: duties are looked up faster in a group than among all. Thread safe.
auto groupByDataCentre(const std::vector<member> &members) -> std::map<std::string, std::vector<member>>;

/// The first of dutyOrder(), or 0. Thread safe.
auto dutyHolder(const std::vector<member> &members, const duty_key &key) -> incarnation_id;

} // namespace marjoramloom
