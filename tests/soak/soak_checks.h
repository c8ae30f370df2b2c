#pragma once

#include <boost/json/object.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace marjoramloom::soak {

using std::chrono::milliseconds;

/// Pause that servers ask for.
constexpr auto pauseLength = milliseconds(2'000);

/// One request of a caller and its result. Times are relative to the start of the run.
struct outcome
{
    std::string id;
    std::string path;
    std::string key;
    std::size_t router = 0;
    milliseconds sentAt{ 0 };
    milliseconds endedAt{ 0 };
    unsigned status = 0; ///< 0 if no response header was received.
    bool complete = false;
    std::string body;
};

/// A caller's take-up of a stream, of which it had got the first events.
struct take_up
{
    outcome call;
    std::string resumed; ///< Id of the request that brought the first event.
};

/// A period of a run, such as that in which a server was leaving.
struct time_span
{
    milliseconds from{ 0 };
    milliseconds until = milliseconds::max();

    /// Whether \p other, extended by \p margin at its end, overlaps this span.
    [[nodiscard]] auto overlaps(const time_span &other, milliseconds margin) const -> bool
    {
        return other.from <= until && (other.until == milliseconds::max() || other.until + margin >= from);
    }
};

/// Events that a caller has got when it takes up a stream.
constexpr auto takenUpAfter = 4;

/// Record of a run: requests, executions and faults. Input of the checks.
struct run_history
{
    std::vector<outcome> outcomes;
    std::vector<take_up> takeUps;
    std::map<std::string, std::string> versions; ///< By server, its software version.
    std::map<std::string, std::vector<boost::json::object>> records; ///< By server, its execution record.
    std::map<std::string, milliseconds> revokedAt; ///< By key, when the store acknowledged its removal.
    std::multimap<std::string, time_span> leaving; ///< By server, from the write of its draining entry to its return.
    /// By server, when it said in all answers that it leaves, while the store listed it as ready.
    std::multimap<std::string, time_span> saysLeaving;
    std::multimap<std::size_t, time_span> interruptions; ///< By router, when it was stopped, killed or suspended.
    std::multimap<std::size_t, time_span> stops; ///< By router, its planned stops.
    std::vector<time_span> disturbances; ///< Unplanned faults of routers, servers and the store.
    milliseconds faultsEnd{ 0 };
};

/// Returns a line for each violated guarantee; empty if there are none. Checked are: answers are complete and belong to
/// their request, non-repeatable requests are executed at most once and never if reported as not run, revoked keys and
/// leaving servers get no new requests, servers that ask for a pause get none but a few, planned stops interrupt no
/// request, streams are taken up only at the software version that began them, and the fleet recovers after the faults.
auto findViolations(const run_history &history) -> std::vector<std::string>;

} // namespace marjoramloom::soak
