#include "soak_plan.h"

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace marjoramloom::soak {

namespace {

using std::chrono::milliseconds;

/// Mean time between the begins of two faults; they last up to three times as long, so that two or three overlap.
constexpr auto spacingMs = 1'200;
constexpr auto shortestMs = 300;
constexpr auto longestMs = 3'500;
/// One fault in so many is followed by the same on the same target.
constexpr auto seriesOneIn = 5;

} // namespace

auto drawFaults(std::uint64_t seed, milliseconds length) -> std::vector<planned_fault>
{
    auto random = boost::random::mt19937_64(seed);
    const auto draw = [&](int least, int most) {
        return boost::random::uniform_int_distribution<int>(least, most)(random);
    };
    constexpr auto kinds = static_cast<int>(enum_names<fault_kind>::table.size());
    auto faults = std::vector<planned_fault>();
    auto at = milliseconds(500);
    while (at < length) {
        auto fault =
            planned_fault{ .kind = enum_names<fault_kind>::table[static_cast<std::size_t>(draw(0, kinds - 1))].value,
                           .at = at,
                           .lasts = milliseconds(draw(shortestMs, longestMs)),
                           .target = static_cast<std::uint32_t>(draw(0, 99)) };
        faults.push_back(fault);
        if (draw(1, seriesOneIn) == 1) {
            fault.at += fault.lasts + milliseconds(draw(0, shortestMs));
            faults.push_back(fault);
        }
        at += milliseconds(draw(0, 2 * spacingMs));
    }
    std::stable_sort(faults.begin(), faults.end(),
                     [](const auto &left, const auto &right) { return left.at < right.at; });
    return faults;
}

} // namespace marjoramloom::soak
