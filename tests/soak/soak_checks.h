#pragma once

#include <boost/json/object.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace marjoramloom::soak {

using std::chrono::milliseconds;

/// One request of a caller and what came of it. Times are since the begin of the run.
struct outcome
{
    std::string id;
    std::string path;
    std::string key;
    std::size_t router = 0;
    milliseconds begun{ 0 };
    milliseconds ended{ 0 };
    unsigned status = 0; ///< 0 where no head came.
    bool whole = false;
    std::string body;
};

/// A span in which something held, such as a key being revoked.
struct span
{
    milliseconds from{ 0 };
    milliseconds until = milliseconds::max();

    /// Whether \p other overlaps this one, with \p margin before it.
    [[nodiscard]] auto touches(const span &other, milliseconds margin) const -> bool
    {
        return other.from <= until && (other.until == milliseconds::max() || other.until + margin >= from);
    }
};

/// What the checks of a run need to know of it.
struct run_history
{
    std::vector<outcome> outcomes;
    std::map<std::string, std::vector<boost::json::object>> records; ///< By server, what it executed.
    std::map<std::string, milliseconds> revokedAt; ///< By key, when the store acknowledged that it is gone.
    std::multimap<std::string, span> leaving; ///< By server, from the acknowledged news until it came back.
    std::multimap<std::size_t, span> stops; ///< By router, planned stops.
    std::vector<span> disturbances; ///< Unplanned faults of any kind.
    milliseconds faultsEnd{ 0 };
};

/// Everything that breaks a promise, one line each; empty where all were kept.
auto findViolations(const run_history &history) -> std::vector<std::string>;

} // namespace marjoramloom::soak
