#pragma once

#include "marjoramloom/core/clock.h"

namespace marjoramloom {

/// Decides which prompts are refused when engines cannot serve all in time.
///
/// The load it answers: some accounts suddenly ask for many times their usual share, and together all ask for more than
/// the engines can read. The wait that a request may be sent into shrinks with the part of the fleet's work that its
/// account got lately. As queues grow, the accounts that got most are refused first, until those that wait have equal
/// parts; an account that asks for little is refused last. Thread safe: it holds no state.
class admission_policy
{
public:
    /// Longest wait, before the engine begins, that a request is still sent into. \p reading is the time that its own
    /// prompt takes; \p fraction is what its account got of all work lately, from 0 to 1.
    [[nodiscard]] auto longestWait(duration objective, duration reading, double fraction) const -> duration;
};

} // namespace marjoramloom
