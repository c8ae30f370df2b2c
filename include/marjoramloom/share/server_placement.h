#pragma once

#include "marjoramloom/share/ticket.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marjoramloom {

/// State of a backend server as reported by a router or by the server itself.
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

/// State of a backend server taken from one of its responses. Routers forward it to each other; the newest one applies.
struct server_notice
{
    object_id server;
    server_state state = server_state::available;
    std::int64_t unixMs = 0; ///< Time of the response by the observer's wall clock.
};

/// Latencies of one call as its router observed them; more recent than the server's own load report.
struct pace_sample
{
    object_id server;
    double firstTokenSeconds = 0; ///< Time to the first token; 0 where not observed.
    double tokenSeconds = 0; ///< Mean time between tokens; 0 where not observed.
    bool failed = false;
};

/// Load that a server reported itself, some time ago.
struct load_report
{
    object_id server;
    std::uint32_t running = 0; ///< Requests that ran on the server.
    duration age{}; ///< Time since the server took the measurement.
};

/// The server chosen for a ticket.
struct placement_choice
{
    object_id server;
    std::string reason; ///< Scores of the chosen server and of the second best, for the log.
    bool preferred = true; ///< The server is among those preferred for the ticket's prefix, or it has no prefix.
};

/// Chooses a server of a pool for a ticket by free slots, recent latencies and prefix affinity.
///
/// Latencies that routers observe decide which servers are slow; a server's load report only adds the requests that
/// another dispatcher granted to it. At most a third of the servers is avoided for being slow or failing. Not thread
/// safe.
class server_placement
{
public:
    server_placement();
    ~server_placement();

    /// Sets the configured servers; servers that were configured before keep their running requests and latencies.
    auto setServers(const std::vector<backend_server> &servers, time_point now) -> void;
    auto setState(object_id server, server_state state, time_point now) -> void;
    auto observe(const pace_sample &sample, time_point now) -> void;
    auto observe(const load_report &report, time_point now) -> void;

    /// Count a request that started on a server or ended there; a server that is not configured is ignored.
    auto start(object_id server, work_length length, time_point now) -> void;
    auto finish(object_id server, work_length length, time_point now) -> void;

    /// Chooses a server with a free slot for \p waiting, if any. Short work is sent to a slow server only where it
    /// would wait longer for another one: \p queueSeconds is the expected wait for a slot.
    [[nodiscard]] auto choose(const ticket &waiting, time_point now, double queueSeconds = 0)
        -> std::optional<placement_choice>;

    /// Whether any server, busy or not, may take \p waiting at all.
    [[nodiscard]] auto hasUsableServer(const ticket &waiting) const -> bool;

    /// Whether a server is available and not avoided for short work.
    [[nodiscard]] auto acceptsShortWork(object_id server, time_point now) -> bool;

    [[nodiscard]] auto freeSlots(time_point now) const -> std::uint32_t;
    [[nodiscard]] auto totalSlots(time_point now) const -> std::uint32_t;

    /// Latency of a server relative to the pool's median, at least 1; 1 where no latency is known.
    [[nodiscard]] auto slowness(object_id server, time_point now) -> double;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace marjoramloom
