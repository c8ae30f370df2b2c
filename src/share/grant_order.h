#pragma once

#include "marjoramloom/share/ticket.h"

#include <array>
#include <optional>
#include <set>
#include <unordered_map>

namespace marjoramloom {

/// Sort key of an account in the order of grants: with equal virtual service, the one that received less comes first.
struct account_position
{
    double virtualService = 0;
    double received = 0;
    object_id account;

    // clang-tidy reports a false positive on defaulted comparisons.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const account_position &) const = default;
};

/// Selects the account that is granted next by virtual service, during one pass of a dispatcher.
///
/// Short work precedes long work unless its account leads by more than an allowance. Not thread safe.
class grant_order
{
public:
    /// Identifies the waiting short or long tickets of an account.
    struct queue_id
    {
        object_id account;
        work_length length = work_length::shortWork;
    };

    /// Adds or updates an account: its position and which lengths of tickets it has waiting.
    auto setPosition(const account_position &position, bool hasShort, bool hasLong) -> void;

    /// The queue to grant from next, if any. Short work may lead long work by \p allowance of virtual service. Beyond
    /// that, long work is selected even where \p longAllowed is false: otherwise the slots reserved for short work
    /// would serve a leading account without limit.
    [[nodiscard]] auto next(double allowance, bool longAllowed) const -> std::optional<queue_id>;

    /// Excludes an account's tickets of one length from this pass.
    auto skip(const queue_id &queue) -> void;

    /// Excludes all tickets of one length from this pass.
    auto skipAll(work_length length) -> void;

    /// Lowest virtual service among the accounts that were added and not skipped, if any.
    [[nodiscard]] auto lowest() const -> std::optional<double>;

private:
    auto accounts(work_length length) -> std::set<account_position> &;

    std::set<account_position> m_short;
    std::set<account_position> m_long;
    std::unordered_map<object_id, account_position> m_positions;
};

} // namespace marjoramloom
