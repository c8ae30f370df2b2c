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

/// Times around a stop.
struct stop_settings
{
    std::chrono::milliseconds noWorkBefore{ 30'000 }; ///< A planned stop: no new work from this long before it.
    std::chrono::milliseconds moveBefore{ 5'000 }; ///< A planned stop: running streams are moved this long before it.
    std::chrono::milliseconds listedGrace{ 20'000 }; ///< A listed leaving server: streams are moved after this.
    std::chrono::milliseconds noticeHold{ 15'000 }; ///< A server's own word holds this long.
};

/// What a server's stops mean for its work at one moment.
enum class stop_phase {
    open, ///< Takes work.
    noNewWork,
    moving, ///< What runs there is moved elsewhere.
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

/// Says which backend servers are leaving, from planned stops, the instance list, and the servers' own answers.
///
/// Pure: reads no clock; times are milliseconds of the Unix epoch. Not thread safe.
class stop_calendar
{
public:
    explicit stop_calendar(stop_settings settings = {});

    /// The planned stops and servers of \p accepted replace those known before.
    auto setConfiguration(const configuration &accepted) -> void;

    /// The instance list as of \p nowMs; call after setConfiguration(). Servers are known by their address.
    auto setInstances(const std::vector<listed_instance> &instances, std::int64_t nowMs) -> void;

    /// A server's own word, heard at \p nowMs directly or through a peer. True where it is news, to be relayed.
    auto absorb(const server_notice &notice, std::int64_t nowMs) -> bool;

    /// Phase of \p server at \p nowMs.
    [[nodiscard]] auto phaseAt(object_id server, std::int64_t nowMs) const -> stop_phase;

    /// All servers that are not open at \p nowMs.
    [[nodiscard]] auto stoppingAt(std::int64_t nowMs) const -> std::map<object_id, stop_phase>;

    /// The next moment after \p nowMs at which some phase changes, or nothing.
    [[nodiscard]] auto nextChange(std::int64_t nowMs) const -> std::optional<std::int64_t>;

    /// Words that still hold at \p nowMs, for a peer that has just joined.
    [[nodiscard]] auto notices(std::int64_t nowMs) const -> std::vector<server_notice>;

private:
    struct stop_window
    {
        std::int64_t atMs = 0;
        std::int64_t untilMs = 0;
    };

    struct heard_notice
    {
        server_notice notice;
        std::int64_t heardMs = 0;
    };

    struct server_entry
    {
        std::string address;
        std::vector<stop_window> windows;
        std::optional<std::int64_t> listedSinceMs; ///< Listed as leaving.
        std::optional<heard_notice> heard;
    };

    auto phaseOf(const server_entry &entry, std::int64_t nowMs) const -> stop_phase;
    auto changesOf(const server_entry &entry) const -> std::set<std::int64_t>;

    stop_settings m_settings;
    std::map<object_id, server_entry> m_servers;
};

} // namespace marjoramloom
