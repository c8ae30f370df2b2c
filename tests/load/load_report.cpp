#include "load_report.h"

#include <algorithm>
#include <iomanip>

namespace marjoramloom::load {

namespace {

/// Results of the requests of one account and profile, or of all.
struct outcome_counts
{
    int correct = 0;
    int refused = 0;
    int lost = 0;
    std::vector<double> seconds; ///< Durations of the correctly answered requests.
};

auto quantile(std::vector<double> values, double fraction) -> double
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(fraction * last)];
}

auto addOutcome(outcome_counts &counts, const load_outcome &outcome) -> void
{
    if (outcome.correct) {
        ++counts.correct;
        counts.seconds.push_back(outcome.seconds);
    } else if (outcome.refused) {
        ++counts.refused;
    } else {
        ++counts.lost;
    }
}

auto printRow(const std::pair<std::string, std::string> &key, const outcome_counts &counts, std::ostream &out) -> void
{
    constexpr auto msPerSecond = 1000;
    out << std::left << std::setw(16) << key.first << std::setw(10) << key.second << std::right << std::setw(7)
        << counts.correct << std::setw(9) << counts.refused << std::setw(6) << counts.lost << std::fixed
        << std::setprecision(1) << std::setw(10) << quantile(counts.seconds, 0.5) * msPerSecond << std::setw(10)
        << quantile(counts.seconds, 0.95) * msPerSecond << "\n";
}

} // namespace

auto printReport(const std::vector<load_outcome> &outcomes, const std::map<std::string, int> &executions,
                 std::ostream &out) -> bool
{
    auto rows = std::map<std::pair<std::string, std::string>, outcome_counts>();
    auto all = outcome_counts();
    auto missing = 0;
    for (const auto &outcome : outcomes) {
        if (outcome.correct && !outcome.idempotencyKey.empty() && !executions.contains(outcome.idempotencyKey)) {
            ++missing;
            out << "problem: order " << outcome.idempotencyKey << " was answered and not executed\n";
        }
        addOutcome(rows[{ outcome.account, outcome.profile }], outcome);
        addOutcome(all, outcome);
        if (!outcome.problem.empty()) {
            out << "problem: " << outcome.account << " " << outcome.profile << ": " << outcome.problem << "\n";
        }
    }
    out << "account         profile     whole  refused  lost    p50 ms    p95 ms\n";
    for (const auto &[key, counts] : rows) {
        printRow(key, counts, out);
    }
    const auto repeated =
        std::count_if(executions.begin(), executions.end(), [](const auto &execution) { return execution.second > 1; });
    const auto lost = all.lost + all.refused + missing;
    out << "demo: " << all.correct << " answers whole, " << lost << " lost, " << repeated << " repeated\n";
    return lost == 0 && repeated == 0;
}

} // namespace marjoramloom::load
