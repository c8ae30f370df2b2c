#include "direct_policy.h"

namespace marjoramloom::bench {

auto round_robin::pick(std::uint32_t router, const std::vector<std::uint32_t> &outstanding) -> std::size_t
{
    return m_next[router]++ % outstanding.size();
}

auto least_outstanding::pick(std::uint32_t router, const std::vector<std::uint32_t> &outstanding) -> std::size_t
{
    auto &next = m_next[router];
    auto leastLoaded = next % outstanding.size();
    for (auto step = std::size_t(1); step < outstanding.size(); ++step) {
        const auto candidate = (next + step) % outstanding.size();
        if (outstanding[candidate] < outstanding[leastLoaded]) {
            leastLoaded = candidate;
        }
    }
    next = leastLoaded + 1;
    return leastLoaded;
}

} // namespace marjoramloom::bench
