#include "marjoramloom/peer/wire_codec.h"

#include "peer.pb.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace marjoramloom {

namespace {

constexpr auto maxNameLength = std::size_t(128);
constexpr auto maxWaitingAccounts = 100'000;
constexpr auto maxRequestCost = 1e12; ///< Weighted tokens of one request.
constexpr auto maxAccountTotal = 1e18; ///< Weighted tokens of one account.
constexpr auto maxWaitMs = std::uint32_t(24 * 3'600 * 1'000);

auto isInRange(double cost, double highest) -> bool
{
    return std::isfinite(cost) && cost >= 0 && cost <= highest;
}

auto invalid(const char *step, const std::string &peer, const char *what, last_reason &why) -> std::nullopt_t
{
    return why.fail(failure_kind::protocolViolation, step, peer, what);
}

auto toWireMilliseconds(duration value) -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(toMilliseconds(value), maxWaitMs));
}

auto fromWireMilliseconds(std::uint32_t value) -> duration
{
    return std::chrono::milliseconds(std::min(value, maxWaitMs));
}

template<named_enum Enum>
auto toEnum(std::uint32_t value) -> std::optional<Enum>
{
    const auto candidate = static_cast<Enum>(value);
    for (const auto &entry : enum_names<Enum>::table) {
        if (entry.value == candidate) {
            return candidate;
        }
    }
    return std::nullopt;
}

template<typename Message>
auto encodeUse(const request_use &use, Message &out) -> void
{
    encode(use.ticket, *out.mutable_id());
    encode(use.pool, *out.mutable_pool());
    out.set_cost(static_cast<float>(use.cost));
}

template<typename Message>
auto decodeUse(const Message &in, const char *step, const std::string &peer, last_reason &why)
    -> std::optional<request_use>
{
    const auto id = decodeTicketId(in.id(), peer, why);
    const auto pool = decodePool(in.pool(), peer, why);
    if (!id || !pool) {
        return std::nullopt;
    }
    if (!isInRange(in.cost(), maxRequestCost)) {
        return invalid(step, peer, "cost out of range", why);
    }
    return request_use{ *id, *pool, in.cost() };
}

} // namespace

auto toMilliseconds(duration value) -> std::uint64_t
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    return count > 0 ? static_cast<std::uint64_t>(count) : 0;
}

auto hasPayload(const wire::Envelope &message) -> bool
{
    return message.tickets_size() != 0 || message.grants_size() != 0 || message.refusals_size() != 0
        || message.progress_size() != 0 || message.settlements_size() != 0 || message.withdrawals_size() != 0
        || message.suspensions_size() != 0 || message.digests_size() != 0 || message.pulls_size() != 0
        || message.totals_size() != 0 || message.changes_size() != 0 || message.has_wanted_changes()
        || message.notices_size() != 0 || message.samples_size() != 0 || message.running_size() != 0
        || message.wanted_digests_size() != 0;
}

auto encodeHeartbeat(const member &self, bool includeIdentity, wire::Heartbeat &out) -> void
{
    if (includeIdentity) {
        out.set_instance(self.instance);
        out.set_data_centre(self.dataCentre);
        out.set_region(self.region);
        out.set_peer_address(self.peerAddress);
    }
    out.set_configuration_sequence(self.configurationSequence);
    out.set_leaving(self.leaving);
    out.set_ready(self.ready);
    out.set_beat(self.heartbeatCount);
}

auto decodeMember(incarnation_id sender, const wire::Heartbeat &in) -> member
{
    auto router = member();
    router.incarnation = sender;
    router.instance = in.instance();
    router.dataCentre = in.data_centre();
    router.region = in.region();
    router.peerAddress = in.peer_address();
    router.configurationSequence = in.configuration_sequence();
    router.heartbeatCount = in.beat();
    router.leaving = in.leaving();
    router.ready = in.ready();
    return router;
}

auto encodeMember(const member &router, wire::MemberDigest &out) -> void
{
    out.set_incarnation(router.incarnation);
    out.set_instance(router.instance);
    out.set_data_centre(router.dataCentre);
    out.set_region(router.region);
    out.set_peer_address(router.peerAddress);
    out.set_configuration_sequence(router.configurationSequence);
    out.set_beat(router.heartbeatCount);
    out.set_leaving(router.leaving);
    out.set_ready(router.ready);
}

auto decodeMember(const wire::MemberDigest &in) -> member
{
    auto router = member();
    router.incarnation = in.incarnation();
    router.instance = in.instance();
    router.dataCentre = in.data_centre();
    router.region = in.region();
    router.peerAddress = in.peer_address();
    router.configurationSequence = in.configuration_sequence();
    router.heartbeatCount = in.beat();
    router.leaving = in.leaving();
    router.ready = in.ready();
    return router;
}

auto encodeRoster(const roster &source, bool includeMembers, wire::Roster &out) -> void
{
    out.set_data_centre(source.dataCentre);
    out.set_source(source.source);
    out.set_beat(source.heartbeatCount);
    out.set_version(source.version);
    if (includeMembers) {
        for (const auto &router : source.members) {
            encodeMember(router, *out.add_members());
        }
    }
}

auto decodeRoster(const wire::Roster &in) -> roster
{
    auto result = roster{ in.data_centre(), in.source(), in.beat(), in.version(), {} };
    for (const auto &digest : in.members()) {
        result.members.push_back(decodeMember(digest));
    }
    return result;
}

auto encode(ticket_id id, wire::TicketRef &out) -> void
{
    out.set_router(id.router);
    out.set_serial(id.serial);
}

auto decodeTicketId(const wire::TicketRef &in, const std::string &peer, last_reason &why) -> std::optional<ticket_id>
{
    if (in.router() == 0 || in.serial() == 0) {
        return invalid("decode ticket id", peer, "no router or no serial", why);
    }
    return ticket_id{ in.router(), in.serial() };
}

auto encode(const pool_id &pool, wire::Pool &out) -> void
{
    out.set_data_centre(pool.dataCentre);
    out.set_service(pool.service.value);
}

auto decodePool(const wire::Pool &in, const std::string &peer, last_reason &why) -> std::optional<pool_id>
{
    if (in.data_centre().empty() || in.data_centre().size() > maxNameLength) {
        return invalid("decode pool", peer, "no data centre, or its name is too long", why);
    }
    return pool_id{ in.data_centre(), { in.service() } };
}

auto encode(const addressed_ticket &addressed, time_point now, wire::Ticket &out) -> void
{
    const auto &waiting = addressed.waiting;
    encode(waiting.id, *out.mutable_id());
    encode(waiting.origin, *out.mutable_origin());
    encode(addressed.pool, *out.mutable_pool());
    out.set_account(waiting.account.value);
    out.set_profile(waiting.profile.value);
    out.set_long_work(waiting.length == work_length::longWork);
    out.set_expected_cost(static_cast<float>(waiting.expectedCost));
    out.set_prefix_hash(waiting.prefixHash);
    out.set_waited_ms(toWireMilliseconds(now - waiting.submitted));
    out.set_remaining_ms(toWireMilliseconds(waiting.deadline - now));
    out.set_suspensions(waiting.suspensions);
    out.set_suspendable(waiting.suspendable);
    for (const auto server : waiting.excluded) {
        out.add_excluded(server.value);
    }
}

auto decodeTicket(const wire::Ticket &in, time_point now, const std::string &peer, last_reason &why)
    -> std::optional<addressed_ticket>
{
    const auto id = decodeTicketId(in.id(), peer, why);
    const auto origin = decodePool(in.origin(), peer, why);
    const auto pool = decodePool(in.pool(), peer, why);
    if (!id || !origin || !pool) {
        return std::nullopt;
    }
    if (!isInRange(in.expected_cost(), maxRequestCost)) {
        return invalid("decode ticket", peer, "expected cost out of range", why);
    }
    auto waiting = ticket();
    waiting.id = *id;
    waiting.origin = *origin;
    waiting.account = { in.account() };
    waiting.profile = { in.profile() };
    waiting.length = in.long_work() ? work_length::longWork : work_length::shortWork;
    waiting.expectedCost = in.expected_cost();
    waiting.prefixHash = in.prefix_hash();
    waiting.submitted = now - fromWireMilliseconds(in.waited_ms());
    waiting.deadline = now + fromWireMilliseconds(in.remaining_ms());
    waiting.suspensions = in.suspensions();
    waiting.suspendable = in.suspendable();
    for (const auto server : in.excluded()) {
        waiting.excluded.push_back({ server });
    }
    return addressed_ticket{ std::move(waiting), *pool };
}

auto encode(const grant &granted, wire::Grant &out) -> void
{
    encode(granted.ticket, *out.mutable_id());
    encode(granted.pool, *out.mutable_pool());
    out.set_account(granted.account.value);
    out.set_server(granted.server.value);
    out.set_charged(static_cast<float>(granted.charged));
    out.set_reason(granted.reason);
}

auto decodeGrant(const wire::Grant &in, const std::string &peer, last_reason &why) -> std::optional<grant>
{
    const auto id = decodeTicketId(in.id(), peer, why);
    const auto pool = decodePool(in.pool(), peer, why);
    if (!id || !pool) {
        return std::nullopt;
    }
    if (in.server() == 0) {
        return invalid("decode grant", peer, "no server", why);
    }
    if (!isInRange(in.charged(), maxRequestCost)) {
        return invalid("decode grant", peer, "charge out of range", why);
    }
    auto result = grant();
    result.ticket = *id;
    result.account = { in.account() };
    result.server = { in.server() };
    result.pool = *pool;
    result.charged = in.charged();
    result.reason = in.reason();
    return result;
}

auto encode(const refusal &refused, wire::Refusal &out) -> void
{
    encode(refused.ticket, *out.mutable_id());
    out.set_account(refused.account.value);
    out.set_reason(static_cast<std::uint32_t>(refused.reason));
    out.set_retry_after_ms(toWireMilliseconds(refused.retryAfter));
}

auto decodeRefusal(const wire::Refusal &in, const std::string &peer, last_reason &why) -> std::optional<refusal>
{
    const auto id = decodeTicketId(in.id(), peer, why);
    if (!id) {
        return std::nullopt;
    }
    const auto reason = toEnum<refusal_reason>(in.reason());
    if (!reason) {
        return invalid("decode refusal", peer, "unknown reason", why);
    }
    auto refused = refusal();
    refused.ticket = *id;
    refused.account = { in.account() };
    refused.reason = *reason;
    refused.retryAfter = fromWireMilliseconds(in.retry_after_ms());
    return refused;
}

auto encode(const request_use &use, wire::Progress &out) -> void
{
    encodeUse(use, out);
}

auto decodeProgress(const wire::Progress &in, const std::string &peer, last_reason &why) -> std::optional<request_use>
{
    return decodeUse(in, "decode progress", peer, why);
}

auto encode(const request_use &use, wire::Settlement &out) -> void
{
    encodeUse(use, out);
}

auto decodeSettlement(const wire::Settlement &in, const std::string &peer, last_reason &why)
    -> std::optional<request_use>
{
    return decodeUse(in, "decode settlement", peer, why);
}

auto encode(const suspension &value, wire::Suspension &out) -> void
{
    encode(value.ticket, *out.mutable_id());
    out.set_server(value.server.value);
}

auto decodeSuspension(const wire::Suspension &in, const std::string &peer, last_reason &why)
    -> std::optional<suspension>
{
    const auto id = decodeTicketId(in.id(), peer, why);
    if (!id) {
        return std::nullopt;
    }
    auto result = suspension();
    result.ticket = *id;
    result.server = { in.server() };
    return result;
}

auto encode(const pool_digest &digest, wire::PoolDigest &out) -> void
{
    encode(digest.pool, *out.mutable_pool());
    out.set_serial(digest.serial);
    out.set_spare_slots(digest.spareSlots);
    for (const auto &waiting : digest.waiting) {
        auto &entry = *out.add_waiting();
        entry.set_account(waiting.account.value);
        entry.set_service(waiting.service);
        entry.set_tickets(waiting.tickets);
    }
}

auto decodeDigest(const wire::PoolDigest &in, const std::string &peer, last_reason &why) -> std::optional<pool_digest>
{
    const auto pool = decodePool(in.pool(), peer, why);
    if (!pool) {
        return std::nullopt;
    }
    if (in.waiting_size() > maxWaitingAccounts) {
        return invalid("decode digest", peer, "too many accounts", why);
    }
    auto digest = pool_digest{ *pool, in.serial(), in.spare_slots(), {} };
    for (const auto &entry : in.waiting()) {
        if (!std::isfinite(entry.service()) || std::abs(entry.service()) > maxAccountTotal) {
            return invalid("decode digest", peer, "service out of range", why);
        }
        digest.waiting.push_back({ { entry.account() }, entry.service(), entry.tickets() });
    }
    return digest;
}

auto encode(const pull_request &request, wire::PullRequest &out) -> void
{
    encode(request.from, *out.mutable_from());
    encode(request.to, *out.mutable_to());
    out.set_account(request.account.value);
    out.set_tickets(request.tickets);
    out.set_short_only(request.shortOnly);
}

auto decodePull(const wire::PullRequest &in, const std::string &peer, last_reason &why) -> std::optional<pull_request>
{
    const auto from = decodePool(in.from(), peer, why);
    const auto to = decodePool(in.to(), peer, why);
    if (!from || !to) {
        return std::nullopt;
    }
    return pull_request{ *from, *to, { in.account() }, in.tickets(), in.short_only() };
}

auto encode(const service_total &total, wire::ServiceTotal &out) -> void
{
    out.set_router(total.router);
    out.set_account(total.account.value);
    out.set_cost(total.cost);
}

auto decodeTotal(const wire::ServiceTotal &in, const std::string &peer, last_reason &why)
    -> std::optional<service_total>
{
    if (in.router() == 0) {
        return invalid("decode total", peer, "no router", why);
    }
    if (!isInRange(in.cost(), maxAccountTotal)) {
        return invalid("decode total", peer, "cost out of range", why);
    }
    return service_total{ in.router(), { in.account() }, in.cost() };
}

auto encode(const server_notice &notice, wire::ServerNotice &out) -> void
{
    out.set_server(notice.server.value);
    out.set_state(static_cast<std::uint32_t>(notice.state));
    out.set_unix_ms(notice.unixMs);
}

auto decodeNotice(const wire::ServerNotice &in, const std::string &peer, last_reason &why)
    -> std::optional<server_notice>
{
    const auto state = toEnum<server_state>(in.state());
    if (in.server() == 0 || !state) {
        return invalid("decode notice", peer, "no server, or unknown state", why);
    }
    return server_notice{ { in.server() }, *state, static_cast<std::int64_t>(in.unix_ms()) };
}

auto encode(const pace_sample &sample, wire::PaceSample &out) -> void
{
    out.set_server(sample.server.value);
    out.set_first_token_seconds(static_cast<float>(sample.firstTokenSeconds));
    out.set_token_seconds(static_cast<float>(sample.tokenSeconds));
    out.set_failed(sample.failed);
}

auto decodeSample(const wire::PaceSample &in, const std::string &peer, last_reason &why) -> std::optional<pace_sample>
{
    constexpr auto maxPaceSeconds = 86'400.0;
    if (!isInRange(in.first_token_seconds(), maxPaceSeconds) || !isInRange(in.token_seconds(), maxPaceSeconds)) {
        return invalid("decode pace sample", peer, "pace out of range", why);
    }
    return pace_sample{ { in.server() }, in.first_token_seconds(), in.token_seconds(), in.failed() };
}

auto encode(const running_request &running, wire::Running &out) -> void
{
    encode(running.granted.ticket, *out.mutable_id());
    encode(running.granted.pool, *out.mutable_pool());
    out.set_account(running.granted.account.value);
    out.set_server(running.granted.server.value);
    out.set_charged(static_cast<float>(running.granted.charged));
    out.set_cost(static_cast<float>(running.cost));
    out.set_long_work(running.length == work_length::longWork);
}

auto decodeRunning(const wire::Running &in, const std::string &peer, last_reason &why) -> std::optional<running_request>
{
    const auto id = decodeTicketId(in.id(), peer, why);
    const auto pool = decodePool(in.pool(), peer, why);
    if (!id || !pool) {
        return std::nullopt;
    }
    if (!isInRange(in.charged(), maxRequestCost) || !isInRange(in.cost(), maxRequestCost)) {
        return invalid("decode running request", peer, "cost out of range", why);
    }
    auto running = running_request();
    running.granted.ticket = *id;
    running.granted.account = { in.account() };
    running.granted.server = { in.server() };
    running.granted.pool = *pool;
    running.granted.charged = in.charged();
    running.cost = in.cost();
    running.length = in.long_work() ? work_length::longWork : work_length::shortWork;
    return running;
}

} // namespace marjoramloom
