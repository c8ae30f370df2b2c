#include "marjoramloom/gateway/decisions/answer_proof.h"

#include <cassert>

namespace marjoramloom {

namespace {

constexpr unsigned firstFinalStatus = 200;
constexpr unsigned firstRedirection = 300;

} // namespace

answer_proof::answer_proof(std::string_view requestId, bool onReusedConnection)
    : m_requestId(requestId)
    , m_onReusedConnection(onReusedConnection)
{
}

auto answer_proof::judge(const answer_marks &answer) const -> answer_standing
{
    assert(answer.status >= firstFinalStatus);
    if (answer.requestId.empty() && m_onReusedConnection) {
        return answer_standing::unassignable;
    }
    if (!answer.requestId.empty() && answer.requestId != m_requestId) {
        return answer_standing::stray;
    }
    const auto isSuccess = answer.status < firstRedirection;
    return isSuccess && !answer.sealed ? answer_standing::unproven : answer_standing::own;
}

} // namespace marjoramloom
