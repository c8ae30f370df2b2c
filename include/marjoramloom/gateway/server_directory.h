#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/gateway/listed_server.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// The backend servers that may be used, from the platform's list of them.
///
/// Each entry of the list is a lease, which also expires while the store that holds it is unavailable. Entries that
/// disappear during or shortly after an outage of the store therefore stay in use until the servers have had time to
/// renew them. Not thread safe.
class server_directory
{
public:
    using server_ptr = std::shared_ptr<const listed_server>;
    using listener = std::function<void(const listed_server &server, std::string_view change)>;

    /// Servers renew an expired entry within about two seconds after the store is available again.
    static constexpr duration RENEWAL_TIME = std::chrono::milliseconds(2'300);

    /// Calls \p onChange for every server that is added, changed or removed.
    explicit server_directory(listener onChange);

    /// Replaces the whole list by \p listed, as read at \p now.
    auto replaceAll(std::vector<listed_server> listed, time_point now) -> void;

    /// Adds or updates an entry.
    auto put(listed_server server, time_point now) -> void;

    /// Removes the entry \p id, or keeps it for a while if its lease may have expired because of an outage of the
    /// store.
    auto remove(const std::string &id, time_point now) -> void;

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

    /// Records that another process answered at the address of \p server: the server is not used until a new
    /// incarnation of it is listed.
    auto noteMisdirected(const listed_server &server) -> void;

    /// The servers of \p service that accept new requests. The reference is valid until the next change.
    [[nodiscard]] auto usable(const std::string &service) const -> const std::vector<server_ptr> &;

    /// Whether \p server, which was looked up earlier, may still be sent a request.
    [[nodiscard]] auto isUsable(const listed_server &server) const -> bool;

    /// The server with the id \p incarnation (see server_loads::incarnationId()) if it accepts new requests; null
    /// otherwise.
    [[nodiscard]] auto findUsable(std::uint64_t incarnation) const -> server_ptr;

    /// Whether this incarnation of \p server is in the list, usable or not.
    [[nodiscard]] auto isListed(const listed_server &server) const -> bool;

    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct entry
    {
        server_ptr server;
        bool misdirected = false;
        /// Set if the lease expired in the store: the entry is removed at this time.
        std::optional<time_point> expiredKeptUntil;
    };

    [[nodiscard]] auto mayBeRenewed(time_point now) const -> bool;
    auto removeEntry(const std::string &id, std::string_view change) -> void;
    auto rebuildIndexes() -> void;

    listener m_onChange;
    std::map<std::string, entry> m_entries;
    std::unordered_map<std::string, std::vector<server_ptr>> m_usableByService;
    std::unordered_map<std::uint64_t, server_ptr> m_usableByIncarnation;
    bool m_storeLost = false;
    std::optional<time_point> m_renewalDeadline; ///< Set once the store is available again: end of the renewal period.
};

} // namespace marjoramloom
