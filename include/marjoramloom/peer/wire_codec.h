#pragma once

#include "marjoramloom/core/last_reason.h"
#include "marjoramloom/peer/membership.h"
#include "marjoramloom/share/dispatcher.h"
#include "marjoramloom/share/server_placement.h"
#include "marjoramloom/share/share_ledger.h"

#include <optional>
#include <string>

namespace marjoramloom::wire {
class DigestRequest;
class Envelope;
class Grant;
class Heartbeat;
class MemberDigest;
class PaceSample;
class Pool;
class PoolDigest;
class Progress;
class PullRequest;
class Refusal;
class Roster;
class Running;
class ServerNotice;
class ServiceTotal;
class Settlement;
class Suspension;
class Ticket;
class TicketRef;
}

/// Conversions between the typed structs and the messages on the wire.
///
/// Clocks of different machines differ, so times are sent as durations relative to the moment of sending. Decoding
/// validates its input and returns nothing, with the step and the peer in \p why, where a value is invalid. All
/// functions are thread safe.
namespace marjoramloom {

/// A ticket and the pool to whose dispatcher it is sent.
struct addressed_ticket
{
    ticket waiting;
    pool_id pool;
};

/// Service that a granted request used so far, or in total at its end.
struct request_use
{
    ticket_id ticket;
    pool_id pool; ///< The pool whose dispatcher granted the request.
    double cost = 0; ///< Weighted tokens, cumulative.
};

/// A running request, reported to dispatchers that may not have granted it themselves.
struct running_request
{
    grant granted;
    work_length length = work_length::shortWork;
    double cost = 0; ///< Service used so far, in weighted tokens.
};

/// Returns \p value in whole milliseconds, or 0 if it is negative.
auto toMilliseconds(duration value) -> std::uint64_t;

/// Whether \p message holds anything besides heartbeats, rosters and acknowledgements.
auto hasPayload(const wire::Envelope &message) -> bool;

/// Names and address are left out unless \p includeIdentity is set.
auto encodeHeartbeat(const member &self, bool includeIdentity, wire::Heartbeat &out) -> void;
auto decodeMember(incarnation_id sender, const wire::Heartbeat &in) -> member;
auto encodeMember(const member &router, wire::MemberDigest &out) -> void;
auto decodeMember(const wire::MemberDigest &in) -> member;
auto encodeRoster(const roster &source, bool includeMembers, wire::Roster &out) -> void;
auto decodeRoster(const wire::Roster &in) -> roster;

auto encode(ticket_id id, wire::TicketRef &out) -> void;
auto decodeTicketId(const wire::TicketRef &in, const std::string &peer, last_reason &why) -> std::optional<ticket_id>;
auto encode(const pool_id &pool, wire::Pool &out) -> void;
auto decodePool(const wire::Pool &in, const std::string &peer, last_reason &why) -> std::optional<pool_id>;

auto encode(const addressed_ticket &addressed, time_point now, wire::Ticket &out) -> void;
auto decodeTicket(const wire::Ticket &in, time_point now, const std::string &peer, last_reason &why)
    -> std::optional<addressed_ticket>;

/// The grant's origin is not sent: the receiver is the origin.
auto encode(const grant &granted, wire::Grant &out) -> void;
auto decodeGrant(const wire::Grant &in, const std::string &peer, last_reason &why) -> std::optional<grant>;

auto encode(const refusal &refused, wire::Refusal &out) -> void;
auto decodeRefusal(const wire::Refusal &in, const std::string &peer, last_reason &why) -> std::optional<refusal>;

auto encode(const request_use &use, wire::Progress &out) -> void;
auto decodeProgress(const wire::Progress &in, const std::string &peer, last_reason &why) -> std::optional<request_use>;
auto encode(const request_use &use, wire::Settlement &out) -> void;
auto decodeSettlement(const wire::Settlement &in, const std::string &peer, last_reason &why)
    -> std::optional<request_use>;

auto encode(const suspension &value, wire::Suspension &out) -> void;
auto decodeSuspension(const wire::Suspension &in, const std::string &peer, last_reason &why)
    -> std::optional<suspension>;

/// An account with 0 tickets no longer waits. The field `base` is set by digest_encoder only.
auto encode(const pool_digest &digest, wire::PoolDigest &out) -> void;
auto decodeDigest(const wire::PoolDigest &in, const std::string &peer, last_reason &why) -> std::optional<pool_digest>;

auto encode(const pull_request &request, wire::PullRequest &out) -> void;
auto decodePull(const wire::PullRequest &in, const std::string &peer, last_reason &why) -> std::optional<pull_request>;

auto encode(const service_total &total, wire::ServiceTotal &out) -> void;
auto decodeTotal(const wire::ServiceTotal &in, const std::string &peer, last_reason &why)
    -> std::optional<service_total>;

auto encode(const server_notice &notice, wire::ServerNotice &out) -> void;
auto decodeNotice(const wire::ServerNotice &in, const std::string &peer, last_reason &why)
    -> std::optional<server_notice>;

auto encode(const pace_sample &sample, wire::PaceSample &out) -> void;
auto decodeSample(const wire::PaceSample &in, const std::string &peer, last_reason &why) -> std::optional<pace_sample>;

auto encode(const running_request &running, wire::Running &out) -> void;
auto decodeRunning(const wire::Running &in, const std::string &peer, last_reason &why)
    -> std::optional<running_request>;

} // namespace marjoramloom
