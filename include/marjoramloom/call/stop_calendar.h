#pragma once

#include "marjoramloom/contract/configuration.h"
#include "marjoramloom/core/clock.h"
#include "marjoramloom/core/enum_names.h"
#include "marjoramloom/share/server_placement.h"
#include "marjoramloom/store/instance_list.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace marjoramloom {

/// Time limits that apply to stops of backend servers.
struct stop_settings
{
    std::chrono::milliseconds noNewWorkBefore{ 30'000 }; ///< No new work from this long before a planned stop.
    std::chrono::milliseconds moveBefore{ 5'000 }; ///< Running streams are moved from this long before a planned stop.
    std::chrono::milliseconds listedGrace{
        20'000
    }; ///< Streams are moved this long after a server was first listed as leaving.
    std::chrono::milliseconds noticeValidity{ 15'000 }; ///< Lifetime of a notice that came from the server itself.
};

/// Whether a server takes work at a given time.
enum class stop_phase {
    open, ///< Takes work.
    noNewWork, ///< Finishes running requests, but gets no new ones.
    moving, ///< Running requests are moved to other servers.
};

template<>
struct enum_names<stop_phase>
{
    static constexpr std::array table{
        enum_name<stop_phase>{ stop_phase::open, "open" },
        enum_name<stop_phase>{ stop_phase::noNewWork, "no_new_work" },
        enum_name<stop_phase>{ stop_phase::moving, "moving" },
    };
};

/// Determines which backend servers are leaving, from planned stops, the instance list, and the servers' own answers.
///
/// Reads no clock: the caller passes all times, in milliseconds since the Unix epoch. Not thread safe.
class stop_calendar
{
public:
    explicit stop_calendar(stop_settings settings = {});

    /// Replaces the known servers and planned stops by those of \p accepted.
    auto setConfiguration(const configuration &accepted) -> void;

    /// Sets the instance list as of \p nowMs. Call after setConfiguration(). Servers are identified by their address.
    auto setInstances(const std::vector<listed_instance> &instances, std::int64_t nowMs) -> void;

    /// Applies a notice that came from the server itself, received at \p nowMs directly or through a peer. Returns true
    /// if it is new and must be relayed to the peers.
    auto absorb(const server_notice &notice, std::int64_t nowMs) -> bool;

    /// Phase of \p server at \p nowMs; open for unknown servers.
    [[nodiscard]] auto phaseAt(object_id server, std::int64_t nowMs) const -> stop_phase;

    /// All servers that are not open at \p nowMs, with their phase.
    [[nodiscard]] auto stoppingAt(std::int64_t nowMs) const -> std::map<object_id, stop_phase>;

    /// The next time after \p nowMs at which a phase may change, or nothing.
    [[nodiscard]] auto nextChange(std::int64_t nowMs) const -> std::optional<std::int64_t>;

    /// Notices that are still valid at \p nowMs, to be sent to a peer that has just joined.
    [[nodiscard]] auto notices(std::int64_t nowMs) const -> std::vector<server_notice>;

private:
    /// Start and end of a planned stop.
    struct stop_window
    {
        std::int64_t atMs = 0;
        std::int64_t untilMs = 0;
    };

    /// The latest accepted notice of a server and the time when it was received.
    struct received_notice
    {
        server_notice notice;
        std::int64_t receivedMs = 0;
    };

    /// Everything that determines the phase of one server.
    struct server_entry
    {
        std::string address;
        std::vector<stop_window> stopWindows;
        std::optional<std::int64_t> leavingSinceMs; ///< Set while the instance list has it as leaving.
        std::optional<received_notice> received;
    };

    auto phaseOf(const server_entry &entry, std::int64_t nowMs) const -> stop_phase;
    auto phaseChangeTimes(const server_entry &entry) const -> std::set<std::int64_t>;

    stop_settings m_settings;
    std::map<object_id, server_entry> m_servers;
};

} // namespace marjoramloom
