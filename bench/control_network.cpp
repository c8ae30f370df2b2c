#include "control_network.h"

namespace marjoramloom::bench {

namespace {

constexpr auto flushDelay = std::chrono::microseconds(500); ///< Messages of this long share an envelope.

} // namespace

control_network::control_network(fleet &where, receiver deliver)
    : m_fleet(where)
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
    ++control.messages;
    control.bytesByRouter.resize(m_fleet.routerCount());
    const auto delay = m_fleet.latency(m_fleet.dataCentreOfRouter(from), m_fleet.dataCentreOfRouter(to));
    m_fleet.queue().after(delay, [this, from, to, messages = std::move(messages)] { m_deliver(to, from, messages); });
}

} // namespace marjoramloom::bench
