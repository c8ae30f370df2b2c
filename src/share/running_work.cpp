#include "share/running_work.h"

#include "marjoramloom/share/share_ledger.h"

#include <algorithm>
#include <cassert>

namespace marjoramloom {

namespace {

/// Short work that used more than this factor of its estimate is treated as long work.
constexpr auto outgrownFactor = 4.0;

} // namespace

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
    ++m_counts[piece.granted.account];
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
        if (!std::exchange(piece.adopted, false)) {
            m_ledger.observeUse(id.router, piece.granted.account, cost - piece.used, now);
            m_use.add(now, cost - piece.used);
        }
        piece.used = cost;
        m_ledger.charge(piece.granted.account, piece.remaining() - before);
        if (piece.used > outgrownFactor * piece.granted.charged) {
            piece.length = work_length::longWork;
        }
    }
    return &piece;
}

auto running_work::finish(ticket_id id) -> running_piece
{
    auto node = m_pieces.extract(id);
    assert(!node.empty());
    m_ledger.charge(node.mapped().granted.account, -node.mapped().remaining());
    const auto count = m_counts.find(node.mapped().granted.account);
    if (--count->second == 0) {
        m_counts.erase(count);
    }
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

auto running_work::count(object_id account) const -> std::size_t
{
    const auto found = m_counts.find(account);
    return found == m_counts.end() ? 0 : found->second;
}

auto running_work::useRate(time_point now) const -> double
{
    return m_use.perSecond(now);
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
