#pragma once

#include "marjoramloom/peer/wire_codec.h"
#include "peer.pb.h"

#include <string>

namespace marjoramloom {

namespace detail {

/// Hands over each of \p items that \p decode can read; the reason of each other one goes to \p reject.
auto forEachDecoded(const auto &items, auto &&decode, auto &&accept, auto &&reject) -> void
{
    auto why = last_reason();
    for (const auto &item : items) {
        if (const auto decoded = decode(item, why)) {
            accept(*decoded);
        } else {
            reject(why);
        }
    }
}

} // namespace detail

/// Hands the messages between ticket queues and dispatchers in \p message to \p taker, one by one, and what makes no
/// sense to its reject(). Requests that run come before tickets, so that none is granted twice.
template<typename Taker>
auto readDispatchMessages(const wire::Envelope &message, time_point now, const std::string &peer, Taker &taker) -> void
{
    const auto plain = [&taker](const auto &item) {
        taker.take(item);
    };
    const auto reject = [&taker](const last_reason &why) {
        taker.reject(why);
    };
    const auto read = [&](const auto &items, auto *decoder, auto &&accept) {
        const auto decode = [&](const auto &item, last_reason &why) {
            return decoder(item, peer, why);
        };
        detail::forEachDecoded(items, decode, accept, reject);
    };
    const auto readTicket = [&](const wire::Ticket &item, last_reason &why) {
        return decodeTicket(item, now, peer, why);
    };
    read(message.running(), decodeRunning, plain);
    detail::forEachDecoded(message.tickets(), readTicket, plain, reject);
    read(message.withdrawals(), decodeTicketId, [&](ticket_id id) { taker.takeWithdrawal(id); });
    read(message.grants(), decodeGrant, plain);
    read(message.refusals(), decodeRefusal, plain);
    read(message.suspensions(), decodeSuspension, plain);
    read(message.progress(), decodeProgress, [&](const request_use &use) { taker.takeProgress(use); });
    read(message.settlements(), decodeSettlement, [&](const request_use &use) { taker.takeSettlement(use); });
    read(message.pulls(), decodePull, plain);
    read(message.samples(), decodeSample, plain);
}

} // namespace marjoramloom
