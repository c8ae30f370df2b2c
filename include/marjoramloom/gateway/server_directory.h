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
/// The list is a set of leases that lapse also while the store that keeps them is away. Entries that vanish around an
/// outage of the store therefore stay in use until the servers had time to renew them. Not thread safe.
class server_directory
{
public:
    using server_ptr = std::shared_ptr<const listed_server>;
    using listener = std::function<void(const listed_server &server, std::string_view change)>;

    /// Servers renew a lapsed entry within about two seconds of the store's return.
    static constexpr duration RENEWAL_TIME = std::chrono::milliseconds(2'300);

    /// Calls \p onChange for every server that is added, changed or removed.
    explicit server_directory(listener onChange);

    /// Takes over the whole list as read at \p now.
    auto replaceAll(std::vector<listed_server> listed, time_point now) -> void;

    /// An entry was added or changed.
    auto put(listed_server server, time_point now) -> void;

    /// The entry \p id was removed, or holds nothing usable any more.
    auto remove(const std::string &id, time_point now) -> void;

    /// The store cannot be reached.
    auto onStoreLost() -> void;

    /// The store answers again.
    auto onStoreRegained(time_point now) -> void;

    /// Servers may renew lapsed entries until \p until at least.
    auto expectRenewals(time_point until) -> void;

    /// How much longer lapsed entries may be renewed; 0 while no outage ended lately.
    [[nodiscard]] auto renewalLeft(time_point now) const -> std::chrono::milliseconds;

    /// Drops lapsed entries that were not renewed in time. Call every few hundred milliseconds.
    auto tick(time_point now) -> void;

    /// Another process answered at the address of \p server: it is not used again until its entry changes.
    auto noteMisdirected(const listed_server &server) -> void;

    /// The servers of \p service that take new requests. The reference is valid until the next change.
    [[nodiscard]] auto usable(const std::string &service) const -> const std::vector<server_ptr> &;

    /// Whether \p server, as found earlier, may still get a request.
    [[nodiscard]] auto isUsable(const listed_server &server) const -> bool;

    /// The server that takes new requests with the run number \p run (see server_loads); null where there is none.
    [[nodiscard]] auto findUsable(std::uint64_t run) const -> server_ptr;

    /// Whether this run of \p server is in the list, usable or not.
    [[nodiscard]] auto isListed(const listed_server &server) const -> bool;

    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct entry
    {
        server_ptr server;
        bool misdirected = false;
        std::optional<time_point> lapsedUntil; ///< Removed by the store, and dropped here at this time.
    };

    [[nodiscard]] auto mayHaveLapsed(time_point now) const -> bool;
    auto drop(const std::string &id, std::string_view why) -> void;
    auto rebuild() -> void;

    listener m_onChange;
    std::map<std::string, entry> m_entries;
    std::unordered_map<std::string, std::vector<server_ptr>> m_usable;
    std::unordered_map<std::uint64_t, server_ptr> m_usableByRun;
    bool m_storeLost = false;
    std::optional<time_point> m_renewalEnds; ///< Set for RENEWAL_TIME after the store's return.
};

} // namespace marjoramloom
