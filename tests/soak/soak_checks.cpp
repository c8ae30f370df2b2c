#include "soak_checks.h"

#include <algorithm>
#include <boost/json.hpp>
#include <set>

namespace marjoramloom::soak {

namespace {

/// A revoked key must be refused from this long after the store's acknowledgement on.
constexpr auto revocationLimit = milliseconds(5'000);
/// A leaving server must get no new requests from this long after its entry was written on.
constexpr auto leavingLimit = milliseconds(3'000);
/// An unplanned fault may still have effects for this long after its end.
constexpr auto disturbanceMargin = milliseconds(3'000);
/// The fleet must serve normally again from this long after the last fault on.
constexpr auto recoveryLimit = milliseconds(12'000);
/// Fraction of the requests that must be served after recoveryLimit.
constexpr double minServedFraction = 0.9;
/// Number of events in each stream of the stand-ins.
constexpr auto streamLength = 12;

auto expectedStream(int first = 1) -> std::string
{
    auto text = std::string();
    for (auto number = first; number <= streamLength; ++number) {
        text += "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
    }
    return text;
}

/// Counts the executions of each request, by request id.
auto countExecutions(const run_history &history) -> std::map<std::string, int>
{
    auto executions = std::map<std::string, int>();
    for (const auto &[server, entries] : history.records) {
        for (const auto &entry : entries) {
            if (entry.at("state").as_string() == "started") {
                ++executions[std::string(entry.at("request_id").as_string())];
            }
        }
    }
    return executions;
}

/// Whether routers may send the request to a server more than once.
auto isRepeatable(const outcome &call) -> bool
{
    return call.path.starts_with("/read/") || call.path.starts_with("/talk/");
}

/// Whether the body is the complete answer to this request and not that to another one.
auto isExpectedAnswer(const outcome &call) -> bool
{
    if (call.path.ends_with("stream")) {
        return call.body == expectedStream();
    }
    auto error = boost::system::error_code();
    const auto parsed = boost::json::parse(call.body, error);
    return !error && parsed.is_object() && parsed.get_object().contains("path")
        && parsed.at("path").as_string() == call.path;
}

auto describe(const outcome &call, std::string_view what) -> std::string
{
    return std::string(what) + ": request " + call.id + " " + call.path + " at router " + std::to_string(call.router)
        + ", " + std::to_string(call.sentAt.count()) + " to " + std::to_string(call.endedAt.count()) + " ms, status "
        + std::to_string(call.status);
}

/// Whether an unplanned fault overlaps \p when, so that the guarantees for planned operations do not apply.
auto isDisturbed(const run_history &history, const time_span &when) -> bool
{
    return std::any_of(history.disturbances.begin(), history.disturbances.end(),
                       [&](const auto &fault) { return when.overlaps(fault, disturbanceMargin); });
}

auto checkAnswers(const run_history &history, std::vector<std::string> &violations) -> void
{
    const auto executions = countExecutions(history);
    for (const auto &call : history.outcomes) {
        const auto found = executions.find(call.id);
        const auto count = found == executions.end() ? 0 : found->second;
        if (call.status == 200 && call.complete && !isExpectedAnswer(call)) {
            violations.push_back(describe(call, "not the whole answer to this request"));
        }
        if (!isRepeatable(call) && count > 1) {
            violations.push_back(describe(call, "ran more than once"));
        }
        if ((call.status == 429 || call.status == 503) && count > 0 && !isRepeatable(call)) {
            violations.push_back(describe(call, "refused as not run, and ran"));
        }
        const auto revoked = history.revokedAt.find(call.key);
        if (revoked != history.revokedAt.end() && call.sentAt > revoked->second + revocationLimit && count > 0) {
            violations.push_back(describe(call, "ran with a revoked key"));
        }
    }
}

auto checkLeavingServers(const run_history &history, std::vector<std::string> &violations) -> void
{
    auto callsById = std::map<std::string, const outcome *>();
    for (const auto &call : history.outcomes) {
        callsById.emplace(call.id, &call);
    }
    for (const auto &[server, drain] : history.leaving) {
        if (isDisturbed(history, drain)) {
            continue;
        }
        for (const auto &entry : history.records.at(server)) {
            const auto call = callsById.find(std::string(entry.at("request_id").as_string()));
            if (call != callsById.end() && call->second->sentAt > drain.from + leavingLimit
                && call->second->sentAt < drain.until) {
                violations.push_back(describe(*call->second, "reached the leaving server " + server));
            }
        }
    }
}

auto isInterrupted(const run_history &history, std::size_t router, const time_span &when) -> bool
{
    const auto [first, last] = history.interruptions.equal_range(router);
    return std::any_of(first, last, [&](const auto &entry) { return when.overlaps(entry.second, milliseconds(0)); });
}

/// Requests in the execution record of a server, by router.
using calls_by_router = std::map<std::size_t, std::vector<const outcome *>>;

auto callsAt(const run_history &history, const std::string &server, std::string_view state) -> calls_by_router
{
    auto callsById = std::map<std::string, const outcome *>();
    for (const auto &call : history.outcomes) {
        callsById.emplace(call.id, &call);
    }
    auto calls = calls_by_router();
    for (const auto &entry : history.records.at(server)) {
        const auto call = callsById.find(std::string(entry.at("request_id").as_string()));
        if (call != callsById.end() && entry.at("state").as_string() == state) {
            calls[call->second->router].push_back(call->second);
        }
    }
    return calls;
}

/// A router that has passed on an answer of a leaving server sends it nothing more, whether other faults overlap or
/// not.
auto checkAnnouncedLeaving(const run_history &history, std::vector<std::string> &violations) -> void
{
    for (const auto &[server, leaving] : history.saysLeaving) {
        for (const auto &[router, calls] : callsAt(history, server, "started")) {
            auto passedOnAt = milliseconds::max();
            for (const auto *call : calls) {
                if (call->sentAt > leaving.from && call->status == 200 && call->complete) {
                    passedOnAt = std::min(passedOnAt, call->endedAt);
                }
            }
            for (const auto *call : calls) {
                if (passedOnAt < leaving.until && call->sentAt > passedOnAt + leavingLimit
                    && call->sentAt < leaving.until && !isInterrupted(history, router, { passedOnAt, call->sentAt })) {
                    violations.push_back(describe(*call, "reached " + server + ", which had said that it leaves"));
                }
            }
        }
    }
}

/// A server that asked a router for a pause gets at most two of its requests from half a second later to the end.
auto checkPauses(const run_history &history, std::vector<std::string> &violations) -> void
{
    constexpr auto reactionTime = milliseconds(500);
    constexpr auto maxRequests = 2;
    for (const auto &[server, entries] : history.records) {
        for (const auto &[router, refused] : callsAt(history, server, "refused")) {
            for (const auto *first : refused) {
                const auto end = first->sentAt + pauseLength;
                const auto late = std::count_if(refused.begin(), refused.end(), [&](const auto *call) {
                    return call->sentAt > first->endedAt + reactionTime && call->endedAt < end;
                });
                if (late > maxRequests && !isInterrupted(history, router, { first->sentAt, end })) {
                    violations.push_back(describe(*first, server + " asked for a pause and got further requests"));
                }
            }
        }
    }
}

auto checkStops(const run_history &history, std::vector<std::string> &violations) -> void
{
    const auto executions = countExecutions(history);
    for (const auto &[router, stop] : history.stops) {
        if (isDisturbed(history, stop)) {
            continue;
        }
        for (const auto &call : history.outcomes) {
            const auto overlapsStop = call.router == router && call.endedAt >= stop.from && call.sentAt <= stop.until;
            // A request that arrives while the router closes the connection is not read and thus not executed. It is no
            // violation.
            if (overlapsStop && !call.complete && executions.contains(call.id)) {
                violations.push_back(describe(call, "cut off by a planned stop"));
            }
        }
    }
}

/// The software versions at which each request ran, by request id.
auto versionsByRequest(const run_history &history) -> std::map<std::string, std::set<std::string>>
{
    auto versions = std::map<std::string, std::set<std::string>>();
    for (const auto &[server, entries] : history.records) {
        for (const auto &entry : entries) {
            if (entry.at("state").as_string() == "started") {
                versions[std::string(entry.at("request_id").as_string())].insert(history.versions.at(server));
            }
        }
    }
    return versions;
}

/// A stream whose first request ran at one version goes on at no other one, whatever faults there are.
auto checkTakeUps(const run_history &history, std::vector<std::string> &violations) -> void
{
    const auto versions = versionsByRequest(history);
    for (const auto &[call, resumed] : history.takeUps) {
        const auto began = versions.find(resumed);
        const auto wentOn = versions.find(call.id);
        // A first request that ran at two versions may have broken off at one of them before its first event.
        const auto isKnown = began != versions.end() && began->second.size() == 1;
        if (isKnown && wentOn != versions.end() && wentOn->second != began->second) {
            violations.push_back(describe(call, "went on at another software version than " + resumed));
        }
        if (call.status == 200 && call.complete && call.body != expectedStream(takenUpAfter + 1)) {
            violations.push_back(describe(call, "not the rest of the stream " + resumed));
        }
    }
}

auto checkRecovery(const run_history &history, std::vector<std::string> &violations) -> void
{
    auto sent = 0;
    auto served = 0;
    for (const auto &call : history.outcomes) {
        if (call.sentAt > history.faultsEnd + recoveryLimit && !history.revokedAt.contains(call.key)) {
            ++sent;
            served += call.status == 200 && call.complete ? 1 : 0;
        }
    }
    if (sent == 0 || served < minServedFraction * sent) {
        violations.push_back("not recovered: " + std::to_string(served) + " of " + std::to_string(sent) + " served");
    }
}

} // namespace

auto findViolations(const run_history &history) -> std::vector<std::string>
{
    auto violations = std::vector<std::string>();
    checkAnswers(history, violations);
    checkLeavingServers(history, violations);
    checkAnnouncedLeaving(history, violations);
    checkPauses(history, violations);
    checkStops(history, violations);
    checkTakeUps(history, violations);
    checkRecovery(history, violations);
    return violations;
}

} // namespace marjoramloom::soak
