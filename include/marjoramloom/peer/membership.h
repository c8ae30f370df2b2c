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

/// Periods of membership.
struct membership_settings
{
    duration suspectAfter = std::chrono::milliseconds(750); ///< Silence after which others are asked: 1.5 heartbeats.
    duration timeout = std::chrono::milliseconds(2'000); ///< Silence after which a member counts as gone.
    duration remoteTimeout =
        std::chrono::milliseconds(15'000); ///< The same for members known by their data centre's roster.
    duration forgetAfter = std::chrono::minutes(10); ///< What is gone is forgotten.
};

/// How news of a member was taken.
enum class heard_result {
    joined, ///< It was unknown or gone before.
    refreshed,
    stale, ///< Nothing newer than what is known.
    obsolete, ///< Of an incarnation that was replaced by a later one.
};

template<>
struct enum_names<heard_result>
{
    static constexpr std::array table{
        enum_name<heard_result>{ heard_result::joined, "joined" },
        enum_name<heard_result>{ heard_result::refreshed, "refreshed" },
        enum_name<heard_result>{ heard_result::stale, "stale" },
        enum_name<heard_result>{ heard_result::obsolete, "obsolete" },
    };
};

/// The live members of a data centre, as one of them (the source) hears them directly.
struct roster
{
    std::string dataCentre;
    incarnation_id source = 0;
    std::uint64_t beat = 0; ///< Of the source; only a higher one is news.
    std::uint64_t version = 0; ///< Equal for equal members.
    std::vector<member> members; ///< Empty where only the beat is new.
};

/// A member that joined or is gone.
struct member_event
{
    member who;
    bool joined = false;
};

/// Which routers are alive, by their heartbeats.
///
/// A heartbeat carries a beat that its sender counts up, and only a higher beat is a sign of life: neither a late
/// message nor the routers' repeating each other keeps a dead one alive. Times are local only. Pure state: no input or
/// output, no clock of its own. Not thread safe.
class membership
{
public:
    /// Precondition: \p self has an incarnation, an instance name and a data centre.
    membership(member self, membership_settings limits);

    /// A heartbeat of \p who on its own link.
    auto hear(const member &who, time_point now) -> heard_result;

    /// A short heartbeat of a known incarnation on its own link; stale where it is unknown.
    auto hearAgain(const member &who, time_point now) -> heard_result;

    /// Another member hears \p who.
    auto hearThrough(const member &who, time_point now) -> heard_result;

    /// News of another data centre. False where the whole roster is needed to make use of it.
    auto absorb(const roster &news, time_point now) -> bool;

    /// Members of this data centre that are heard directly, itself included. No members where \p whole is false.
    [[nodiscard]] auto ownRoster(bool whole, time_point now) const -> roster;

    /// Gives members up that were silent for too long.
    auto expire(time_point now) -> void;

    /// Joins and losses since the last call.
    [[nodiscard]] auto takeEvents() -> std::vector<member_event>;

    /// Replaces what the platform's instance list says of routers.
    auto setListed(std::vector<listed_instance> listed) -> void;
    [[nodiscard]] auto listed() const -> const std::vector<listed_instance> &;

    /// Remembers \p address as one where routers of another data centre were found; the latest few are kept. True where
    /// nothing of that data centre was known. Says nothing about who is alive.
    auto hint(const std::string &dataCentre, const std::string &address) -> bool;

    /// Hinted addresses by data centre, the latest last.
    [[nodiscard]] auto hints() const -> const std::map<std::string, std::vector<std::string>> &;

    [[nodiscard]] auto self() -> member &;
    [[nodiscard]] auto self() const -> const member &;

    /// Live members, itself included.
    [[nodiscard]] auto members(time_point now) const -> std::vector<member>;

    /// The live member of that incarnation, or nullptr.
    [[nodiscard]] auto find(incarnation_id incarnation) const -> const member *;

    /// Whether \p incarnation is alive or was, and is not forgotten.
    [[nodiscard]] auto remembers(incarnation_id incarnation) const -> bool;

    /// Members of this data centre that missed heartbeats and are not given up yet.
    [[nodiscard]] auto suspects(time_point now) const -> std::vector<incarnation_id>;

    /// Whether \p incarnation was heard on its own link within the timeout.
    [[nodiscard]] auto isDirect(incarnation_id incarnation, time_point now) const -> bool;

private:
    struct entry
    {
        member known;
        time_point lastHeard;
        time_point lastDirect = time_point::min();
        bool alive = false;
    };

    struct roster_entry
    {
        std::uint64_t beat = 0;
        std::uint64_t version = 0;
        std::vector<incarnation_id> members;
        time_point lastHeard;
    };

    [[nodiscard]] auto isObsolete(const member &who) const -> bool;
    auto replacePrevious(const member &who, time_point now) -> void;
    auto refresh(const member &who, time_point now) -> heard_result;
    [[nodiscard]] auto allAlive(const std::vector<incarnation_id> &incarnations) const -> bool;
    [[nodiscard]] auto timeoutOf(const entry &which) const -> duration;
    [[nodiscard]] auto listedAsLeaving(const member &who) const -> bool;
    [[nodiscard]] auto give(const entry &which, time_point now) const -> member;

    member m_self;
    membership_settings m_limits;
    std::unordered_map<incarnation_id, entry> m_entries;
    std::unordered_map<std::string, incarnation_id> m_byInstance;
    std::map<incarnation_id, time_point> m_replaced;
    std::map<std::pair<std::string, incarnation_id>, roster_entry> m_rosters;
    std::vector<listed_instance> m_listed;
    std::set<std::pair<std::string, std::string>> m_listedLeaving; ///< Instance and address.
    std::map<std::string, std::vector<std::string>> m_hints;
    std::vector<member_event> m_events;
};

} // namespace marjoramloom
