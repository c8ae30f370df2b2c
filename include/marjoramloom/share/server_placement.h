#pragma once

#include "marjoramloom/share/ticket.h"

#include <memory>
#include <optional>
#include <string>
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

/// News of a backend server's state, from its own answer; the newest word counts, and routers tell each other.
struct server_notice
{
    object_id server;
    server_state state = server_state::available;
    std::int64_t unixMs = 0; ///< When the server said so, by the observer's wall clock.
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
    bool preferred = true; ///< Among the servers that the ticket's prefix prefers, or it has none.
};

/// Servers of one pool: slots, recent pace, prefix affinity; chooses one for a ticket.
///
/// Routers' own observations decide which servers are slow; a server's load report only tells of work that another
/// dispatcher gave it. At most a third of the servers is passed over for being slow or failing. Not thread safe.
class server_placement
{
public:
    server_placement();
    ~server_placement();

    /// The configured servers; known ones keep their running work and pace.
    auto setServers(const std::vector<backend_server> &servers, time_point now) -> void;
    auto setState(object_id server, server_state state, time_point now) -> void;
    auto observe(const pace_sample &sample, time_point now) -> void;
    auto observe(const load_report &report, time_point now) -> void;

    /// A request started on or left a server; a server that is not configured is ignored.
    auto start(object_id server, work_length length, time_point now) -> void;
    auto finish(object_id server, work_length length, time_point now) -> void;

    /// A server with a free slot for \p waiting, or nothing. Short work goes to a slowed server only where it would
    /// wait longer for another one: \p queueSeconds is how long a slot is expected to take.
    [[nodiscard]] auto choose(const ticket &waiting, time_point now, double queueSeconds = 0)
        -> std::optional<placement_choice>;

    /// Whether any server, busy or not, may take \p waiting at all.
    [[nodiscard]] auto anyUsable(const ticket &waiting) const -> bool;

    /// Whether short work may use a server at all: it takes work and is not passed over.
    [[nodiscard]] auto mayServeShort(object_id server, time_point now) -> bool;

    [[nodiscard]] auto freeSlots(time_point now) const -> std::uint32_t;
    [[nodiscard]] auto totalSlots(time_point now) const -> std::uint32_t;

    /// How many times slower than the middle of the pool a server answers; 1 where nothing is known.
    [[nodiscard]] auto slowness(object_id server, time_point now) -> double;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace marjoramloom
