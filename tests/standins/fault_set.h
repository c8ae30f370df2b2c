#pragma once

#include "marjoramloom/core/enum_names.h"

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace standins {

/// Kinds of faults that a stand-in can inject. README.md describes each.
enum class fault_kind {
    outage,
    close,
    refuseConnections,
    refuse,
    fail,
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

/// One fault, with the conditions for the requests that it applies to. Which fields have a meaning depends on the kind.
struct fault
{
    fault_kind kind = fault_kind::outage;
    std::optional<std::uint32_t> count; ///< Number of requests that it still applies to; no value means all.
    std::uint32_t skip = 0; ///< Number of matching requests that it does not apply to first.
    std::string match; ///< Prefix of the key: the object's kind/name, or the request id.
    std::string contains; ///< Text that the request's body must contain.
    std::string method; ///< HTTP method; empty for any.
    std::string value; ///< Value of the header field that announces the fault; empty for the default.
    std::int64_t ms = 0; ///< Delay, duration or lag in milliseconds.
    double factor = 1; ///< Multiplier of delays.
    std::uint32_t events = 0; ///< Number of events of the stream before it takes effect.
    std::uint64_t revision = 0; ///< Revision that stale reads show; 0 to use \p behind.
    std::uint64_t behind = 0; ///< Number of revisions by which stale reads lag.
    bool forget = false; ///< The stream cannot be resumed afterwards.
    bool crash = false; ///< All other streams of the server break off, too.
    bool silent = false; ///< Leave the connection open without sending anything, instead of closing it.
    bool enabled = true; ///< Value of the setting that the fault overrides.
};

/// Properties of a request that the conditions of faults are compared with.
struct fault_subject
{
    std::string key;
    std::string method;
    std::string body;
};

/// The active faults of a stand-in. Not thread safe.
class fault_set
{
public:
    /// Replaces all faults by those in \p document. Returns the problem of an invalid document, which changes nothing;
    /// empty on success.
    auto replace(const boost::json::value &document) -> std::string;

    /// Returns the first fault of that kind that applies to \p subject and counts it as used once; no value if there is
    /// none.
    auto take(fault_kind kind, const fault_subject &subject) -> std::optional<fault>;

    /// Returns the first fault of that kind regardless of its conditions, and does not count it as used.
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
        row{ kind::fail, "fail" },
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
