#include "soak_checks.h"

#include <algorithm>
#include <boost/json.hpp>
#include <set>

namespace marjoramloom::soak {

namespace {

/// A revoked key must be refused this long after the store's acknowledgement.
constexpr auto revocationLimit = milliseconds(5'000);
/// A leaving server gets nothing new after this.
constexpr auto leavingLimit = milliseconds(3'000);
/// A disturbance may show for this long after its end.
constexpr auto disturbanceTail = milliseconds(3'000);
/// The fleet serves as before this long after the last fault.
constexpr auto recoveryLimit = milliseconds(12'000);
/// Part of the requests that must be served then.
constexpr double recoveredPart = 0.9;
/// Events of the stand-in's streams.
constexpr auto streamLength = 12;

auto wholeStream() -> std::string
{
    auto text = std::string();
    for (auto number = 1; number <= streamLength; ++number) {
        text += "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
    }
    return text;
}

/// Runs of each request, by its id.
auto countRuns(const run_history &history) -> std::map<std::string, int>
{
    auto runs = std::map<std::string, int>();
    for (const auto &[server, entries] : history.records) {
        for (const auto &entry : entries) {
            if (entry.at("state").as_string() == "started") {
                ++runs[std::string(entry.at("request_id").as_string())];
            }
        }
    }
    return runs;
}

auto mayRepeat(const outcome &call) -> bool
{
    return call.path.starts_with("/read/") || call.path.starts_with("/talk/");
}

/// Whether the body is the whole answer to this very request.
auto isOwnAnswer(const outcome &call) -> bool
{
    if (call.path.ends_with("stream")) {
        return call.body == wholeStream();
    }
    auto error = boost::system::error_code();
    const auto parsed = boost::json::parse(call.body, error);
    return !error && parsed.is_object() && parsed.get_object().contains("path")
        && parsed.at("path").as_string() == call.path;
}

auto describe(const outcome &call, std::string_view what) -> std::string
{
    return std::string(what) + ": request " + call.id + " " + call.path + " at router " + std::to_string(call.router)
        + ", " + std::to_string(call.begun.count()) + " to " + std::to_string(call.ended.count()) + " ms, status "
        + std::to_string(call.status);
}

auto isDisturbed(const run_history &history, const span &when) -> bool
{
    return std::any_of(history.disturbances.begin(), history.disturbances.end(),
                       [&](const auto &fault) { return when.touches(fault, disturbanceTail); });
}

auto checkAnswers(const run_history &history, std::vector<std::string> &broken) -> void
{
    const auto runs = countRuns(history);
    for (const auto &call : history.outcomes) {
        const auto found = runs.find(call.id);
        const auto count = found == runs.end() ? 0 : found->second;
        if (call.status == 200 && call.whole && !isOwnAnswer(call)) {
            broken.push_back(describe(call, "not the whole answer to this request"));
        }
        if (!mayRepeat(call) && count > 1) {
            broken.push_back(describe(call, "ran more than once"));
        }
        if ((call.status == 429 || call.status == 503) && count > 0 && !mayRepeat(call)) {
            broken.push_back(describe(call, "refused as not run, and ran"));
        }
        const auto revoked = history.revokedAt.find(call.key);
        if (revoked != history.revokedAt.end() && call.begun > revoked->second + revocationLimit && count > 0) {
            broken.push_back(describe(call, "ran with a revoked key"));
        }
    }
}

auto checkLeavingServers(const run_history &history, std::vector<std::string> &broken) -> void
{
    auto begun = std::map<std::string, const outcome *>();
    for (const auto &call : history.outcomes) {
        begun.emplace(call.id, &call);
    }
    for (const auto &[server, span] : history.leaving) {
        if (isDisturbed(history, span)) {
            continue;
        }
        for (const auto &entry : history.records.at(server)) {
            const auto call = begun.find(std::string(entry.at("request_id").as_string()));
            if (call != begun.end() && call->second->begun > span.from + leavingLimit
                && call->second->begun < span.until) {
                broken.push_back(describe(*call->second, "reached the leaving server " + server));
            }
        }
    }
}

auto checkStops(const run_history &history, std::vector<std::string> &broken) -> void
{
    const auto runs = countRuns(history);
    for (const auto &[router, stop] : history.stops) {
        if (isDisturbed(history, stop)) {
            continue;
        }
        for (const auto &call : history.outcomes) {
            const auto isHeld = call.router == router && call.ended >= stop.from && call.begun <= stop.until;
            // A request that crosses the end of its connection was not read, and so did not run.
            if (isHeld && !call.whole && runs.contains(call.id)) {
                broken.push_back(describe(call, "cut off by a planned stop"));
            }
        }
    }
}

auto checkRecovery(const run_history &history, std::vector<std::string> &broken) -> void
{
    auto asked = 0;
    auto served = 0;
    for (const auto &call : history.outcomes) {
        if (call.begun > history.faultsEnd + recoveryLimit && !history.revokedAt.contains(call.key)) {
            ++asked;
            served += call.status == 200 && call.whole ? 1 : 0;
        }
    }
    if (asked == 0 || served < recoveredPart * asked) {
        broken.push_back("not recovered: " + std::to_string(served) + " of " + std::to_string(asked) + " served");
    }
}

} // namespace

auto findViolations(const run_history &history) -> std::vector<std::string>
{
    auto broken = std::vector<std::string>();
    checkAnswers(history, broken);
    checkLeavingServers(history, broken);
    checkStops(history, broken);
    checkRecovery(history, broken);
    return broken;
}

} // namespace marjoramloom::soak
