#include "soak_plan.h"

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace marjoramloom::soak {

namespace {

using std::chrono::milliseconds;

/// Mean time between the starts of two faults. Faults last up to three times as long, so that two or three overlap.
constexpr auto meanSpacingMs = 1'200;
constexpr auto minDurationMs = 300;
constexpr auto maxDurationMs = 3'500;
/// One fault in this many begins a series on the same target: it is repeated after its end, up to this often.
constexpr auto seriesOneIn = 4;
constexpr auto maxRepeats = 3;

} // namespace

auto generateFaults(std::uint64_t seed, milliseconds length) -> std::vector<planned_fault>
{
    auto random = boost::random::mt19937_64(seed);
    const auto draw = [&](int minimum, int maximum) {
        return boost::random::uniform_int_distribution<int>(minimum, maximum)(random);
    };
    constexpr auto kinds = static_cast<int>(fault_kind::versionJoins);
    auto faults = std::vector<planned_fault>();
    auto at = milliseconds(500);
    while (at < length) {
        auto fault =
            planned_fault{ .kind = enum_names<fault_kind>::table[static_cast<std::size_t>(draw(0, kinds - 1))].value,
                           .at = at,
                           .duration = milliseconds(draw(minDurationMs, maxDurationMs)),
                           .target = static_cast<std::uint32_t>(draw(0, 99)) };
        faults.push_back(fault);
        const auto repeats = draw(1, seriesOneIn) == 1 ? draw(1, maxRepeats) : 0;
        for (auto repeat = 0; repeat < repeats; ++repeat) {
            fault.at += fault.duration + milliseconds(draw(0, minDurationMs));
            faults.push_back(fault);
        }
        at += milliseconds(draw(0, 2 * meanSpacingMs));
    }
    if (doesVersionJoin(seed)) {
        // A router gets no answers from the store while the version joins, or stands still.
        const auto joins = milliseconds(draw(0, static_cast<int>(length.count()) / 2));
        faults.push_back({ .kind = draw(0, 1) == 0 ? fault_kind::storeSilent : fault_kind::pauseRouter,
                           .at = joins,
                           .duration = milliseconds(draw(minDurationMs, maxDurationMs)),
                           .target = static_cast<std::uint32_t>(draw(0, 99)) });
        faults.push_back({ .kind = fault_kind::versionJoins, .at = joins + milliseconds(draw(0, minDurationMs)) });
    }
    std::stable_sort(faults.begin(), faults.end(),
                     [](const auto &left, const auto &right) { return left.at < right.at; });
    return faults;
}

auto doesVersionJoin(std::uint64_t seed) -> bool
{
    return seed % 2 == 1;
}

} // namespace marjoramloom::soak
