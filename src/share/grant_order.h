#pragma once

#include "marjoramloom/share/ticket.h"

#include <array>
#include <optional>
#include <set>
#include <unordered_map>

namespace marjoramloom {

/// Place of an account in the order of grants: among equals, the one that received less goes first.
struct due_account
{
    double virtualService = 0;
    double received = 0;
    object_id account;

    // The check misreads defaulted comparisons.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const due_account &) const = default;
};

/// Accounts with waiting short and long tickets, each by virtual service, for one pass of a dispatcher.
///
/// Short work goes before long work unless its account is ahead by more than an allowance. Not thread safe.
class grant_order
{
public:
    struct turn
    {
        object_id account;
        work_length length = work_length::shortWork;
    };

    /// Sets an account's place and which lengths it has waiting.
    auto place(const due_account &due, bool hasShort, bool hasLong) -> void;

    /// Whose turn it is; short work may be ahead of long work by \p allowance of virtual service. Beyond that it is the
    /// long work's turn also where \p longAllowed is false, or slots kept for short work would serve an account without
    /// end that is ahead.
    [[nodiscard]] auto next(double allowance, bool longAllowed) const -> std::optional<turn>;

    /// Takes an account's tickets of one length out of this pass.
    auto skip(const turn &which) -> void;

    /// Takes all tickets of one length out of this pass.
    auto close(work_length length) -> void;

    /// Lowest virtual service among all that were placed and not skipped, or nothing.
    [[nodiscard]] auto lowest() const -> std::optional<double>;

private:
    auto lane(work_length length) -> std::set<due_account> &;

    std::set<due_account> m_short;
    std::set<due_account> m_long;
    std::unordered_map<object_id, due_account> m_places;
};

} // namespace marjoramloom
