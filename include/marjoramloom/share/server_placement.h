#pragma once

#include "marjoramloom/share/ticket.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// What a router or the engine itself says of a backend server's state.
enum class server_state {
    available,
    leaving, ///< Takes no new work.
    unreachable,
};

template<>
struct enum_names<server_state>
{
    static constexpr std::array table{
        enum_name<server_state>{ server_state::available, "available" },
        enum_name<server_state>{ server_state::leaving, "leaving" },
        enum_name<server_state>{ server_state::unreachable, "unreachable" },
    };
};

/// One observation of a call by a router: fresher than the server's own load report.
struct pace_sample
{
    object_id server;
    double firstTokenSeconds = 0; ///< 0 where not observed.
    double tokenSeconds = 0; ///< Between tokens; 0 where not observed.
    bool failed = false;
};

/// A server's own, late report of its load.
struct load_report
{
    object_id server;
    std::uint32_t running = 0;
    duration age{};
};

/// The chosen server and why.
struct placement_choice
{
    object_id server;
    std::string reason; ///< Scores of the alternatives, for the log.
};

/// Servers of one pool: slots, recent pace, prefix affinity; chooses one for a ticket. Not thread safe.
class server_placement
{
public:
    /// The configured servers; known ones keep their running work and pace.
    auto setServers(const std::vector<backend_server> &servers, time_point now) -> void;
    auto setState(object_id server, server_state state, time_point now) -> void;
    auto observe(const pace_sample &sample, time_point now) -> void;
    auto observe(const load_report &report, time_point now) -> void;

    /// A request started on or left a server; a server that is not configured is ignored.
    auto start(object_id server, work_length length) -> void;
    auto finish(object_id server, work_length length) -> void;

    /// A server with a free slot for \p waiting, or nothing.
    [[nodiscard]] auto choose(const ticket &waiting, time_point now) -> std::optional<placement_choice>;

    /// Whether any configured server, busy or not, may take \p waiting at all.
    [[nodiscard]] auto anyUsable(const ticket &waiting) const -> bool;

    [[nodiscard]] auto freeSlots(time_point now) const -> std::uint32_t;
    [[nodiscard]] auto totalSlots(time_point now) const -> std::uint32_t;

private:
    struct server_entry
    {
        backend_server contract;
        server_state state = server_state::available;
        std::uint32_t runningShort = 0;
        std::uint32_t runningLong = 0;
        double firstToken = 0; ///< Smoothed seconds.
        double tokenPace = 0; ///< Smoothed seconds.
        time_point lastSample;
        time_point retryAt; ///< Not chosen before, after failures.
        std::uint32_t failures = 0; ///< In a row.
        std::uint32_t reportedElsewhere = 0; ///< Running work that this dispatcher did not grant.

        [[nodiscard]] auto running() const -> std::uint32_t;
        [[nodiscard]] auto free(time_point now) const -> std::uint32_t;
    };

    [[nodiscard]] auto score(const server_entry &entry, const ticket &waiting) const -> double;

    std::unordered_map<object_id, server_entry> m_servers;
};

} // namespace marjoramloom
