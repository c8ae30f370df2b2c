#include "control_network.h"

#include "layout.h"
#include "marjoramloom/peer/wire_codec.h"
#include "peer.pb.h"

namespace marjoramloom::bench {

namespace {

constexpr auto flushDelay = std::chrono::microseconds(500); ///< Messages sent within this time share an envelope.

/// Encodes messages into an envelope with the codec of the routers.
struct envelope_writer
{
    wire::Envelope &envelope;
    time_point now;

    auto operator()(const submit_message &message) const -> void
    {
        encode(addressed_ticket{ message.submittedTicket, message.pool }, now, *envelope.add_tickets());
    }

    auto operator()(const withdraw_message &message) const -> void
    {
        encode(message.id, *envelope.add_withdrawals());
    }

    auto operator()(const progress_message &message) const -> void
    {
        encode(request_use{ message.id, message.pool, message.cost }, *envelope.add_progress());
    }

    auto operator()(const settle_message &message) const -> void
    {
        encode(request_use{ message.id, message.pool, message.cost }, *envelope.add_settlements());
    }

    auto operator()(const digest_message &message) const -> void
    {
        encode(message.digest, *envelope.add_digests());
    }

    auto operator()(const sample_message &message) const -> void
    {
        encode(message.sample, *envelope.add_samples());
    }

    auto operator()(const grant &message) const -> void
    {
        encode(message, *envelope.add_grants());
    }

    auto operator()(const refusal &message) const -> void
    {
        encode(message, *envelope.add_refusals());
    }

    auto operator()(const suspension &message) const -> void
    {
        encode(message, *envelope.add_suspensions());
    }

    auto operator()(const pull_request &message) const -> void
    {
        encode(message, *envelope.add_pulls());
    }

    auto operator()(const service_total &message) const -> void
    {
        encode(message, *envelope.add_totals());
    }
};

auto wireSize(const std::vector<control_message> &messages, std::uint64_t sender, time_point now) -> std::uint64_t
{
    auto envelope = wire::Envelope();
    envelope.set_version(1);
    envelope.set_sender(sender);
    envelope.set_sequence(1);
    envelope.set_heard(1);
    for (const auto &message : messages) {
        std::visit(envelope_writer{ envelope, now }, message);
    }
    return envelope.ByteSizeLong();
}

} // namespace

control_network::control_network(fleet &simulatedFleet, receive_handler deliver)
    : m_fleet(simulatedFleet)
    , m_deliver(std::move(deliver))
{
}

auto control_network::send(std::uint32_t from, std::uint32_t to, control_message message) -> void
{
    auto &outbox = m_outboxes[{ from, to }];
    outbox.push_back(std::move(message));
    if (outbox.size() == 1) {
        const auto delay = from == to ? duration(0) : duration(flushDelay);
        m_fleet.queue().after(delay, [this, from, to] { flush(from, to); });
    }
}

auto control_network::flush(std::uint32_t from, std::uint32_t to) -> void
{
    auto messages = std::exchange(m_outboxes[{ from, to }], {});
    if (from == to) {
        m_deliver(to, from, messages);
        return;
    }
    auto &control = m_fleet.results().control;
    ++control.envelopes;
    control.bytesByRouter.resize(m_fleet.routerCount());
    const auto size = wireSize(messages, incarnationOf(from), m_fleet.queue().now());
    control.bytes += size;
    control.bytesByRouter[from] += size;
    const auto delay = m_fleet.latency(m_fleet.dataCentreOfRouter(from), m_fleet.dataCentreOfRouter(to));
    m_fleet.queue().after(delay, [this, from, to, messages = std::move(messages)] { m_deliver(to, from, messages); });
}

} // namespace marjoramloom::bench
