#include "marjoramloom/peer/digest_changes.h"

#include "marjoramloom/peer/wire_codec.h"
#include "peer.pb.h"

#include <cmath>

namespace marjoramloom {

digest_encoder::digest_encoder(double minServiceChange)
    : m_minServiceChange(minServiceChange)
{
}

auto digest_encoder::hasChanged(const waiting_account &current) const -> bool
{
    constexpr auto minTicketChange = 0.25;
    const auto known = m_sent.find(current.account);
    if (known == m_sent.end()) {
        return true;
    }
    const auto before = known->second.tickets;
    const auto ticketChange = std::abs(double(current.tickets) - double(before));
    return ticketChange > minTicketChange * before
        || std::abs(current.service - known->second.service) >= m_minServiceChange;
}

auto digest_encoder::encodeChanges(const pool_digest &current, wire::PoolDigest &out) -> void
{
    auto changes = pool_digest{ current.pool, m_serial + 1, current.spareSlots, {} };
    auto removed = m_sent;
    for (const auto &waiting : current.waiting) {
        removed.erase(waiting.account);
        if (hasChanged(waiting)) {
            changes.waiting.push_back(waiting);
            m_sent[waiting.account] = waiting;
        }
    }
    for (const auto &[account, waiting] : removed) {
        changes.waiting.push_back({ account, waiting.service, 0 });
        m_sent.erase(account);
    }
    encode(changes, out);
    out.set_base(m_serial);
    ++m_serial;
}

auto digest_decoder::decodeChanges(const wire::PoolDigest &in, const std::string &peer, bool &needsFullDigest,
                                   last_reason &why) -> std::optional<pool_digest>
{
    auto changes = decodeDigest(in, peer, why);
    if (!changes) {
        return std::nullopt;
    }
    needsFullDigest = in.base() != 0 && in.base() != m_serial;
    if (needsFullDigest) {
        return why.fail(failure_kind::conflict, "decode digest", peer,
                        "the changes follow a digest that was not received");
    }
    if (in.base() == 0) {
        m_known.clear();
    }
    m_serial = in.serial();
    for (const auto &waiting : changes->waiting) {
        if (waiting.tickets == 0) {
            m_known.erase(waiting.account);
        } else {
            m_known[waiting.account] = waiting;
        }
    }
    changes->waiting.clear();
    for (const auto &[account, waiting] : m_known) {
        changes->waiting.push_back(waiting);
    }
    return changes;
}

} // namespace marjoramloom
