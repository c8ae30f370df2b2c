#include "marjoramloom/gateway/decisions/decision_trace.h"

#include <algorithm>

namespace marjoramloom {

auto decision_trace::note(std::string_view name, std::string finding) -> void
{
    m_steps.push_back({ std::string(name), std::move(finding) });
}

auto decision_trace::reject(const std::string &id, rejection reason) -> void
{
    auto &reasons = m_candidates[id].reasons;
    if (std::find(reasons.begin(), reasons.end(), reason) == reasons.end()) {
        reasons.push_back(reason);
    }
}

auto decision_trace::candidate(const std::string &id) -> traced_candidate &
{
    return m_candidates[id];
}

auto decision_trace::steps() const -> const std::vector<step> &
{
    return m_steps;
}

auto decision_trace::candidates() const -> const std::map<std::string, traced_candidate> &
{
    return m_candidates;
}

} // namespace marjoramloom
