#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/core/enum_names.h"
#include "marjoramloom/gateway/decisions/decision_trace.h"
#include "marjoramloom/gateway/knowledge/evidence_memory.h"
#include "marjoramloom/gateway/knowledge/listed_server.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// How this router learned from a server's own statement that it leaves.
enum class leaving_source {
    answer, ///< From an answer of the server to this router.
    router, ///< From another router, which got such an answer.
};

template<>
struct enum_names<leaving_source>
{
    static constexpr std::array table{
        enum_name<leaving_source>{ leaving_source::answer, "leaving by its answer" },
        enum_name<leaving_source>{ leaving_source::router, "leaving by another router" },
    };
};

/// The backend servers that may be used, from the platform's list of them.
///
/// Each entry of the list is a lease, which also expires while the store that holds it is unavailable. Entries that
/// disappear during or shortly after an outage of the store therefore stay in use until the servers have had time to
/// renew them.
///
/// A list of a new era of the store shows the past: an entry of a server that was gone may be there again. It counts
/// only once the server has written it anew, or once it has outlasted RESTORED_TIME.
///
/// A server that leaves also says so in its answers. That ends the use of its incarnation for good, whatever the list
/// says: the list may be outdated, or its entry may disappear and come back around an outage. Not thread safe.
class server_directory
{
public:
    using server_ptr = std::shared_ptr<const listed_server>;
    using listener = std::function<void(const listed_server &server, std::string_view change)>;

    /// Servers renew an expired entry within about two seconds after the store is available again.
    static constexpr duration RENEWAL_TIME = std::chrono::milliseconds(2'300);

    /// Entries that no server renews expire after three of its write intervals, which are shorter than two seconds.
    static constexpr duration RESTORED_TIME = std::chrono::seconds(6);

    /// Calls \p onChange for every server that is added, changed or removed.
    explicit server_directory(listener onChange);

    /// Replaces the whole list by \p listed, which was read at \p now and has the store's \p revision.
    auto replaceAll(std::vector<listed_server> listed, std::uint64_t revision, time_point now) -> void;

    /// Adds or updates an entry, unless it is late (see server_evidence).
    auto put(listed_server server, time_point now) -> void;

    /// Removes the entry \p id, which the store did with \p revision, or keeps it for a while if its lease may have
    /// expired because of an outage of the store. Has no effect on an entry with a larger revision.
    auto remove(const std::string &id, std::uint64_t revision, time_point now) -> void;

    /// Call when the store cannot be reached.
    auto onStoreLost() -> void;

    /// Call when the store answers again.
    auto onStoreRegained(time_point now) -> void;

    /// Extends the period in which servers may renew expired entries to \p until, if that is later.
    auto expectRenewals(time_point until) -> void;

    /// Ends the period in which servers may renew expired entries at \p end, unless it ends earlier: the store was
    /// available again before this router noticed, or all the time.
    auto limitRenewals(time_point end) -> void;

    /// How much longer expired entries may be renewed; 0 if no outage ended recently.
    [[nodiscard]] auto renewalLeft(time_point now) const -> std::chrono::milliseconds;

    /// Removes expired entries that were not renewed in time. Call every few hundred milliseconds.
    auto tick(time_point now) -> void;

    /// Records that another server answered at the address of \p server: the server is not used until a new
    /// incarnation of it is listed, or for MISDIRECTED_TIME.
    auto noteMisdirected(const listed_server &server, time_point now) -> void;

    /// Then a request is tried again: the server may have got its address back. Longer than an entry of a server that
    /// is gone stays listed, so that such an entry is not tried again.
    static constexpr duration MISDIRECTED_TIME = std::chrono::seconds(10);

    /// Records that the server with the id \p incarnation (see server_loads::incarnationId()) stated that it leaves. It
    /// need not be in the list. Returns whether that was not known yet.
    auto noteLeaving(std::uint64_t incarnation, leaving_source source, time_point now) -> bool;

    /// Up to \p limit servers that stated that they leave, although the list has them as accepting requests.
    [[nodiscard]] auto leavingAheadOfList(std::size_t limit) const -> std::vector<std::uint64_t>;

    /// Excludes the servers in \p dataCentres, and no others of this kind, from the usable ones.
    auto setEvacuated(std::set<std::string> dataCentres) -> void;

    /// All listed servers in \p dataCentre, usable or not.
    [[nodiscard]] auto serversIn(const std::string &dataCentre) const -> std::vector<server_ptr>;

    /// A statement that a server leaves is remembered for at least this long after the server was last listed.
    static constexpr duration LEAVING_MEMORY = std::chrono::minutes(10);
    /// Beyond this number of such statements, the oldest are forgotten.
    static constexpr std::size_t MAX_LEAVING_SERVERS = 4'096;

    /// The servers of \p service that accept new requests. The reference is valid until the next change.
    [[nodiscard]] auto usable(const std::string &service) const -> const std::vector<server_ptr> &;

    /// Whether \p server, which was looked up earlier, may still be sent a request.
    [[nodiscard]] auto isUsable(const listed_server &server) const -> bool;

    /// The server with the id \p incarnation (see server_loads::incarnationId()) if it accepts new requests; null
    /// otherwise.
    [[nodiscard]] auto findUsable(std::uint64_t incarnation) const -> server_ptr;

    using visitor = std::function<void(const listed_server &server, std::optional<rejection> reason)>;

    /// Calls \p visit for every listed server of \p service, with the reason why it is not used, if there is one.
    auto forEachOf(const std::string &service, const visitor &visit) const -> void;

    /// Whether this incarnation of \p server is in the list, usable or not.
    [[nodiscard]] auto isListed(const listed_server &server) const -> bool;

    [[nodiscard]] auto size() const -> std::size_t;

    /// Whether the store cannot be reached, so that the list may be outdated.
    [[nodiscard]] auto isStoreLost() const -> bool;

private:
    struct entry
    {
        server_ptr server;
        std::optional<time_point> misdirectedUntil;
        bool statedLeaving = false; ///< It is in m_statedLeaving.
        /// Set if the lease expired in the store: the entry is removed at this time.
        std::optional<time_point> expiredKeptUntil;
    };

    /// An entry that the store may have only from an older copy.
    struct restored_entry
    {
        listed_server server;
        time_point until; ///< It counts from then on.
    };

    [[nodiscard]] auto mayBeRenewed(time_point now) const -> bool;
    auto removeEntry(const std::string &id, std::string_view change) -> void;
    auto rebuildIndexes() -> void;
    auto forgetOldStatements(time_point now) -> void;
    auto endMisdirections(time_point now) -> void;
    auto addOutlastingEntries(time_point now) -> void;

    listener m_onChange;
    evidence_memory m_evidence;
    /// By incarnation, when a server that stated that it leaves was last listed or, if it was not, stated it.
    std::unordered_map<std::uint64_t, time_point> m_statedLeaving;
    std::map<std::string, entry> m_entries;
    std::map<std::string, restored_entry> m_restored; ///< By id; none of them is in m_entries.
    std::set<std::string> m_evacuated; ///< Data centres whose servers are not used.
    std::unordered_map<std::string, std::vector<server_ptr>> m_usableByService;
    std::unordered_map<std::uint64_t, server_ptr> m_usableByIncarnation;
    bool m_storeLost = false;
    std::optional<time_point> m_renewalDeadline; ///< Set once the store is available again: end of the renewal period.
};

} // namespace marjoramloom
