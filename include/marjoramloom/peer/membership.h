#pragma once

#include "marjoramloom/peer/member.h"
#include "marjoramloom/store/instance_list.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// Timeouts of failure detection.
struct membership_settings
{
    /// Time without a heartbeat after which other members are asked for the member: 1.5 heartbeats.
    duration suspectAfter = std::chrono::milliseconds(750);
    /// Time without a heartbeat after which a member is considered lost.
    duration timeout = std::chrono::milliseconds(2'000);
    /// Timeout of members that are known from the roster of another data centre.
    duration remoteTimeout = std::chrono::milliseconds(15'000);
    duration removeAfter = std::chrono::minutes(10); ///< Entries of lost members are removed after this time.
};

/// Result of processing a heartbeat of a member.
enum class heartbeat_result {
    joined, ///< The member was unknown or lost before.
    refreshed,
    stale, ///< Not newer than what is known.
    obsolete, ///< The incarnation was replaced by a later one.
};

template<>
struct enum_names<heartbeat_result>
{
    static constexpr std::array table{
        enum_name<heartbeat_result>{ heartbeat_result::joined, "joined" },
        enum_name<heartbeat_result>{ heartbeat_result::refreshed, "refreshed" },
        enum_name<heartbeat_result>{ heartbeat_result::stale, "stale" },
        enum_name<heartbeat_result>{ heartbeat_result::obsolete, "obsolete" },
    };
};

/// The live members of a data centre from which one of them (the source) receives heartbeats directly.
struct roster
{
    std::string dataCentre;
    incarnation_id source = 0;
    std::uint64_t heartbeatCount = 0; ///< Heartbeat count of the source; only a higher one is a new roster.
    std::uint64_t version = 0; ///< Hash of the members and their state.
    std::vector<member> members; ///< Empty where only the heartbeat count changed.
};

/// Reports that a member joined, changed its state, or was lost.
struct member_event
{
    member memberInfo;
    bool joined = false; ///< False where the member was lost.
};

/// Determines from heartbeats which routers are alive.
///
/// A heartbeat carries a counter that its sender increments, and only a higher counter proves that the sender is alive.
/// Neither a late message nor routers that repeat each other's reports can keep a dead router alive. Only local times
/// are compared. The class does no I/O and reads no clock. Not thread safe.
class membership
{
public:
    /// Precondition: \p self has an incarnation, an instance name and a data centre.
    membership(member self, membership_settings limits);

    /// Processes a heartbeat that \p router sent over its own link.
    auto onHeartbeat(const member &router, time_point now) -> heartbeat_result;

    /// Processes a heartbeat without names and address that \p router sent over its own link. Returns stale if the
    /// incarnation is unknown.
    auto onShortHeartbeat(const member &router, time_point now) -> heartbeat_result;

    /// Processes a heartbeat of \p router that another member reported.
    auto onRelayedHeartbeat(const member &router, time_point now) -> heartbeat_result;

    /// Processes the roster of another data centre. Returns false if the roster with all members is needed.
    auto mergeRoster(const roster &update, time_point now) -> bool;

    /// Returns the members of this data centre that are heard directly, including this router. The list is empty unless
    /// \p includeMembers is set.
    [[nodiscard]] auto localRoster(bool includeMembers, time_point now) const -> roster;

    /// Marks members as lost whose timeout has elapsed, and removes outdated entries.
    auto expire(time_point now) -> void;

    /// Returns the joins, state changes and losses since the previous call.
    [[nodiscard]] auto takeEvents() -> std::vector<member_event>;

    /// Replaces the routers of the platform's instance list.
    auto setListedRouters(std::vector<listed_instance> listed) -> void;
    [[nodiscard]] auto listed() const -> const std::vector<listed_instance> &;

    /// Stores \p address as one where routers of another data centre may be found; only the latest few are kept.
    /// Returns true if no address of that data centre was known. A hint does not make a member alive.
    auto addAddressHint(const std::string &dataCentre, const std::string &address) -> bool;

    /// Address hints by data centre, the latest last.
    [[nodiscard]] auto addressHints() const -> const std::map<std::string, std::vector<std::string>> &;

    [[nodiscard]] auto self() -> member &;
    [[nodiscard]] auto self() const -> const member &;

    /// Live members, including this router.
    [[nodiscard]] auto members(time_point now) const -> std::vector<member>;

    /// Returns the live member with that incarnation, or nullptr.
    [[nodiscard]] auto find(incarnation_id incarnation) const -> const member *;

    /// Whether \p incarnation is alive, or was lost and its entry is not removed yet.
    [[nodiscard]] auto isKnown(incarnation_id incarnation) const -> bool;

    /// Members of this data centre that missed heartbeats but are not considered lost yet.
    [[nodiscard]] auto suspects(time_point now) const -> std::vector<incarnation_id>;

    /// Whether a heartbeat of \p incarnation arrived over its own link within the timeout.
    [[nodiscard]] auto isHeardDirectly(incarnation_id incarnation, time_point now) const -> bool;

private:
    /// A member that is alive, or was lost lately.
    struct member_entry
    {
        member info;
        time_point lastHeartbeat;
        time_point lastDirectHeartbeat = time_point::min();
        bool isAlive = false;
    };

    /// The last roster received from one source.
    struct roster_entry
    {
        std::uint64_t heartbeatCount = 0;
        std::uint64_t version = 0;
        std::vector<incarnation_id> members;
        time_point lastHeartbeat;
    };

    [[nodiscard]] auto isObsolete(const member &router) const -> bool;
    auto removePreviousIncarnation(const member &router, time_point now) -> void;
    auto refresh(const member &router, time_point now) -> heartbeat_result;
    [[nodiscard]] auto allAlive(const std::vector<incarnation_id> &incarnations) const -> bool;
    [[nodiscard]] auto timeoutOf(const member_entry &entry) const -> duration;
    [[nodiscard]] auto isListedAsLeaving(const member &router) const -> bool;
    [[nodiscard]] auto copyWithAge(const member_entry &entry, time_point now) const -> member;

    member m_self;
    membership_settings m_limits;
    std::unordered_map<incarnation_id, member_entry> m_entries;
    std::unordered_map<std::string, incarnation_id> m_byInstance;
    std::map<incarnation_id, time_point> m_replacedAt; ///< Incarnations that a later one replaced.
    std::map<std::pair<std::string, incarnation_id>, roster_entry> m_rosters;
    std::vector<listed_instance> m_listed;
    std::set<std::pair<std::string, std::string>> m_listedLeaving; ///< Instance name and address.
    std::map<std::string, std::vector<std::string>> m_addressHints;
    std::vector<member_event> m_events;
};

} // namespace marjoramloom
