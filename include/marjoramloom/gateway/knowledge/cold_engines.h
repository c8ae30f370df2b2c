#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/gateway/knowledge/listed_server.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// A server's statement how much longer it is cold.
struct cold_statement
{
    std::uint64_t server = 0; ///< Its incarnation, see server_loads::incarnationId().
    duration left{};
};

/// Which engines are cold, as far as this router knows.
///
/// An engine is cold for a while after its start and may become so again. It says so in its entry and in answers. The
/// remaining time counts from when a statement arrives, as clocks of machines differ. An engine of which nothing is
/// known counts as cold for the service's usual time: one that has just appeared, and one whose data centre was
/// evacuated until now, as its earlier entries may be outdated. Not thread safe.
class cold_engines
{
public:
    /// How the entry of a server came to this router.
    enum class entry_source {
        firstList, ///< In the first list after this router started, so nothing tells new servers from old ones.
        change, ///< Any other.
    };

    /// A statement in an answer is passed on to other routers for this long.
    static constexpr duration REPORT_TIME = std::chrono::milliseconds(1'000);
    /// Statements of a longer time count as this.
    static constexpr duration MAX_COLD_TIME = std::chrono::minutes(1);
    /// A remaining time that exceeds the known one by more than this is that of another cold phase.
    static constexpr duration STATEMENT_TOLERANCE = std::chrono::milliseconds(500);

    /// Records the entry of \p server, which was written at \p revision of the store. Returns whether the server has
    /// turned cold, so that its prefix cache is empty.
    auto noteEntry(const listed_server &server, std::uint64_t revision, entry_source source, time_point now) -> bool;

    /// Records the statement of a server in an answer to this router; 0 for a warm server. Returns like noteEntry().
    auto noteAnswer(const cold_statement &statement, time_point now) -> bool;

    /// Records a statement that another router got in an answer. Returns like noteEntry().
    auto noteReported(const cold_statement &statement, time_point now) -> bool;

    /// The evacuation of the data centre of \p servers (incarnations) ended at \p revision of the store or earlier.
    auto noteReturned(std::span<const std::uint64_t> servers, std::uint64_t revision, time_point now) -> void;

    /// How much longer the server counts as cold, where servers of its service usually are cold for \p coldTime; 0 if
    /// it is warm.
    [[nodiscard]] auto remaining(std::uint64_t server, duration coldTime, time_point now) const -> duration;

    /// Forgets a server that is no longer listed.
    auto forget(const listed_server &server) -> void;

    /// Whether any server may be cold; otherwise remaining() is 0 for all.
    [[nodiscard]] auto mayBeCold(time_point now) const -> bool;

    /// Up to \p limit statements from answers of the last REPORT_TIME, with the time that is left now.
    [[nodiscard]] auto recentStatements(std::size_t limit, time_point now) const -> std::vector<cold_statement>;

    /// Servers that state that they are cold. Those of which nothing is known are not counted.
    [[nodiscard]] auto statedCold(time_point now) const -> std::size_t;

private:
    struct record
    {
        time_point coldUntil{}; ///< By the server's latest statement.
        std::optional<time_point> unknownSince; ///< The server counts as cold for the usual time from then on.
        std::uint64_t validFrom = 0; ///< Entries of this revision of the store or older end no unknownSince.
        std::optional<time_point> answeredAt; ///< Of the latest statement in an answer to this router.
    };

    auto state(record &entry, duration left, time_point now) -> bool;

    /// All known servers, as the absence of one means that it is new.
    std::unordered_map<std::uint64_t, record> m_records;
    std::unordered_map<std::string, std::uint64_t> m_incarnations; ///< Of the known servers, by their names.
    time_point m_maybeColdUntil{}; ///< No server is cold after this time.
};

} // namespace marjoramloom
