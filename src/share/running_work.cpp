#include "share/running_work.h"

#include "marjoramloom/share/share_ledger.h"

#include <algorithm>
#include <cassert>

namespace marjoramloom {

auto running_piece::remaining() const -> double
{
    return std::max(0.0, granted.charged - used);
}

running_work::running_work(share_ledger &ledger)
    : m_ledger(ledger)
{
}

auto running_work::start(const running_piece &piece) -> void
{
    [[maybe_unused]] const auto added = m_pieces.emplace(piece.granted.ticket, piece).second;
    assert(added);
    m_ledger.charge(piece.granted.account, piece.remaining());
}

auto running_work::progress(ticket_id id, double cost, time_point now) -> running_piece *
{
    const auto found = m_pieces.find(id);
    if (found == m_pieces.end()) {
        return nullptr;
    }
    auto &piece = found->second;
    if (cost > piece.used) {
        const auto before = piece.remaining();
        m_ledger.observeUse(id.router, piece.granted.account, cost - piece.used, now);
        piece.used = cost;
        m_ledger.charge(piece.granted.account, piece.remaining() - before);
    }
    return &piece;
}

auto running_work::finish(ticket_id id) -> running_piece
{
    auto node = m_pieces.extract(id);
    assert(!node.empty());
    m_ledger.charge(node.mapped().granted.account, -node.mapped().remaining());
    return std::move(node.mapped());
}

auto running_work::find(ticket_id id) -> running_piece *
{
    const auto found = m_pieces.find(id);
    return found == m_pieces.end() ? nullptr : &found->second;
}

auto running_work::all() const -> const std::unordered_map<ticket_id, running_piece> &
{
    return m_pieces;
}

auto running_work::of(incarnation_id router) const -> std::vector<ticket_id>
{
    auto ids = std::vector<ticket_id>();
    for (const auto &[id, piece] : m_pieces) {
        if (id.router == router) {
            ids.push_back(id);
        }
    }
    return ids;
}

} // namespace marjoramloom
