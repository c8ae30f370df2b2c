#pragma once

#include "marjoramloom/core/clock.h"

namespace marjoramloom {

/// Decides which prompts are refused when the engines cannot serve all of them in time.
///
/// It protects against accounts that suddenly send many times their usual load, so that all accounts together exceed
/// the engines' prefill capacity. The queue wait that a request may face shrinks with its account's recent work. As
/// queues grow, the accounts with the most work are refused first, until their amounts are equal; an account with
/// little load is refused last. Its large prompts may wait for the whole objective: they would otherwise be refused
/// whenever the short prompts of others, which may wait longer, fill the queues. Thread safe: stateless.
class admission_policy
{
public:
    /// Whether an account with \p accountShare of all work has far less than \p evenShare, an even part of it.
    [[nodiscard]] static auto isSmall(double accountShare, double evenShare) -> bool;

    /// The limit between \p free, without contention, and \p contended, with a \p contention of 1.
    [[nodiscard]] static auto blend(duration free, duration contended, double contention) -> duration;

    /// Longest expected queue wait while prompts would wait long. \p fractionOfLevel is the account's recent work in
    /// relation to the level, from account_level. Near the level the wait depends on that alone and not on the length
    /// of the prompt, so that accounts with long prompts are not refused sooner. It falls steeply, without a lower
    /// limit: of two accounts, the one with more work is refused sooner.
    [[nodiscard]] auto maxContendedWait(duration objective, duration prefillTime, double fractionOfLevel) const
        -> duration;

    /// Longest expected queue wait at an engine with which a request is still accepted. \p objective is the latency
    /// objective of the first event, \p prefillTime the expected prefill time of the request's own prompt, and
    /// \p accountShare its account's recent share of all work, from 0 to 1; \p evenShare the share that each account
    /// would have if all had the same, or 0 if that does not matter.
    [[nodiscard]] auto maxWait(duration objective, duration prefillTime, double accountShare, double evenShare) const
        -> duration;
};

} // namespace marjoramloom
