#pragma once

#include "marjoramloom/core/enum_names.h"

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace standins {

/// What a stand-in can be told to do wrong; README.md describes each.
enum class fault_kind {
    outage,
    close,
    refuseConnections,
    refuse,
    leaving,
    delay,
    freeze,
    freezeOpen,
    loseAnswer,
    landLate,
    staleReads,
    listLag,
    slow,
    die,
    freezeStream,
    cross,
    repeat,
    drop,
    reorder,
    loadLag,
    checkFencing,
};

/// One fault, with the requests that it applies to.
struct fault
{
    fault_kind kind = fault_kind::outage;
    std::optional<std::uint32_t> count; ///< Requests left that it applies to; absent: all.
    std::uint32_t skip = 0; ///< Matching requests that pass first.
    std::string match; ///< Prefix of the object's kind/name or of the request id.
    std::string contains; ///< Text in the request's body.
    std::string method; ///< HTTP method; empty for any.
    std::int64_t ms = 0;
    double factor = 1;
    std::uint32_t events = 0; ///< Events of the stream before it takes effect.
    std::uint64_t revision = 0;
    std::uint64_t behind = 0; ///< Revisions.
    bool forget = false; ///< The stream cannot be resumed afterwards.
    bool silent = false; ///< Keep the connection open without a word instead of closing it.
    bool enabled = true;
};

/// What a fault's conditions are compared with.
struct fault_subject
{
    std::string key;
    std::string method;
    std::string body;
};

/// The faults in force. Not thread safe.
class fault_set
{
public:
    /// Replaces all faults. Returns what is wrong with \p document, or an empty text.
    auto replace(const boost::json::value &document) -> std::string;

    /// The fault of that kind that applies to \p subject, used once; nothing where there is none.
    auto take(fault_kind kind, const fault_subject &subject) -> std::optional<fault>;

    /// The fault of that kind, whatever its conditions, without using it.
    [[nodiscard]] auto find(fault_kind kind) const -> const fault *;

private:
    std::vector<fault> m_faults;
};

} // namespace standins

template<>
struct marjoramloom::enum_names<standins::fault_kind>
{
    using kind = standins::fault_kind;
    using row = enum_name<kind>;
    static constexpr std::array table{
        row{ kind::outage, "outage" },
        row{ kind::close, "close" },
        row{ kind::refuseConnections, "refuse_connections" },
        row{ kind::refuse, "refuse" },
        row{ kind::leaving, "leaving" },
        row{ kind::delay, "delay" },
        row{ kind::freeze, "freeze" },
        row{ kind::freezeOpen, "freeze_open" },
        row{ kind::loseAnswer, "lose_answer" },
        row{ kind::landLate, "land_late" },
        row{ kind::staleReads, "stale_reads" },
        row{ kind::listLag, "list_lag" },
        row{ kind::slow, "slow" },
        row{ kind::die, "die" },
        row{ kind::freezeStream, "freeze_stream" },
        row{ kind::cross, "cross" },
        row{ kind::repeat, "repeat" },
        row{ kind::drop, "drop" },
        row{ kind::reorder, "reorder" },
        row{ kind::loadLag, "load_lag" },
        row{ kind::checkFencing, "check_fencing" },
    };
};
