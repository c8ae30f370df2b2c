#pragma once

#include "marjoramloom/peer/wire_codec.h"
#include "peer.pb.h"

#include <string>

namespace marjoramloom {

namespace detail {

/// Decodes each of \p items with \p decode. Calls \p accept with the result, or \p reject with the reason of a failure.
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

/// Decodes the items in \p message that ticket queues and dispatchers exchange, and calls the function of \p handler
/// for each. Items that cannot be decoded go to its reject(). Running requests are handled before tickets, so that a
/// dispatcher does not grant a ticket whose request already runs.
template<typename Handler>
auto readDispatchMessages(const wire::Envelope &message, time_point now, const std::string &peer, Handler &handler)
    -> void
{
    const auto accept = [&handler](const auto &item) {
        handler.handle(item);
    };
    const auto reject = [&handler](const last_reason &why) {
        handler.reject(why);
    };
    const auto read = [&](const auto &items, auto *decoder, auto &&acceptItem) {
        const auto decode = [&](const auto &item, last_reason &why) {
            return decoder(item, peer, why);
        };
        detail::forEachDecoded(items, decode, acceptItem, reject);
    };
    const auto readTicket = [&](const wire::Ticket &item, last_reason &why) {
        return decodeTicket(item, now, peer, why);
    };
    read(message.running(), decodeRunning, accept);
    detail::forEachDecoded(message.tickets(), readTicket, accept, reject);
    read(message.withdrawals(), decodeTicketId, [&](ticket_id id) { handler.handleWithdrawal(id); });
    read(message.grants(), decodeGrant, accept);
    read(message.refusals(), decodeRefusal, accept);
    read(message.suspensions(), decodeSuspension, accept);
    read(message.progress(), decodeProgress, [&](const request_use &use) { handler.handleProgress(use); });
    read(message.settlements(), decodeSettlement, [&](const request_use &use) { handler.handleSettlement(use); });
    read(message.pulls(), decodePull, accept);
    read(message.samples(), decodeSample, accept);
}

} // namespace marjoramloom
