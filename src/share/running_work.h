#pragma once

#include "marjoramloom/share/ticket.h"
#include "share/rate_meter.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

class share_ledger;

/// A granted request and what its account is charged for it.
struct running_piece
{
    grant granted;
    work_length length = work_length::shortWork;
    object_id profile;
    double hint = 0; ///< Expected cost as its router put it; 0 where unknown.
    time_point grantedAt;
    double used = 0; ///< Weighted tokens so far.
    bool adopted = false; ///< Its router counted its use before this dispatcher knew of it.
    bool suspendable = false;
    std::optional<time_point> suspendedAt; ///< Its router was asked to suspend it.
    std::uint32_t suspensions = 0; ///< Before this grant.

    /// Charged and not used yet, in weighted tokens.
    [[nodiscard]] auto remaining() const -> double;
};

/// Granted requests of a pool. Keeps the ledger's charges: the estimate at grant, what exceeds it as soon as it is
/// known. Not thread safe.
class running_work
{
public:
    /// Precondition: \p ledger outlives this object.
    explicit running_work(share_ledger &ledger);

    /// Adds a piece and charges its estimate. Precondition: its id is not running.
    auto start(const running_piece &piece) -> void;

    /// Notes the cumulative \p cost of a piece. Returns it, or null where it does not run here.
    auto progress(ticket_id id, double cost, time_point now) -> running_piece *;

    /// Takes a piece out and gives back what it was charged and did not use. Precondition: it runs here.
    auto finish(ticket_id id) -> running_piece;

    [[nodiscard]] auto find(ticket_id id) -> running_piece *;
    [[nodiscard]] auto all() const -> const std::unordered_map<ticket_id, running_piece> &;

    /// Number of pieces of an account.
    [[nodiscard]] auto count(object_id account) const -> std::size_t;

    /// Weighted tokens a second that all pieces together use.
    [[nodiscard]] auto useRate(time_point now) const -> double;

    /// Ids of the pieces that a router runs.
    [[nodiscard]] auto of(incarnation_id router) const -> std::vector<ticket_id>;

private:
    share_ledger &m_ledger;
    std::unordered_map<ticket_id, running_piece> m_pieces;
    std::unordered_map<object_id, std::size_t> m_counts; ///< By account.
    rate_meter m_use;
};

} // namespace marjoramloom
