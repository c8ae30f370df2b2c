#include "marjoramloom/peer/relay_plan.h"
#include "peer.pb.h"

#include <algorithm>

namespace marjoramloom {

namespace configuration_relay_limits {

constexpr auto requestPause = std::chrono::milliseconds(500);
constexpr auto changesPerAnswer = std::size_t(256);
constexpr auto bytesPerAnswer = std::size_t(768) << 10U; ///< Stays below a session's queue.

} // namespace configuration_relay_limits

template<peer_network Network>
configuration_relay<Network>::configuration_relay(Network &network, configuration_store &store)
    : m_network(network)
    , m_store(store)
    , m_pushed(store.sequence())
{
}

template<peer_network Network>
auto configuration_relay<Network>::onApplied(std::uint64_t sequence) -> void
{
    if (sequence <= m_pushed) {
        return;
    }
    const auto heard = m_heardFrom.lower_bound(sequence);
    const auto from = heard == m_heardFrom.end() ? 0 : heard->second;
    const auto after = m_pushed;
    m_pushed = sequence;
    m_heardFrom.erase(m_heardFrom.begin(), m_heardFrom.upper_bound(sequence));
    const auto isCatchUp = after == 0; // Others had it before: who lacks it will ask.
    if (!isCatchUp || sequence == 1) {
        push(from, after);
    }
}

template<peer_network Network>
auto configuration_relay<Network>::push(incarnation_id heardFrom, std::uint64_t after) -> void
{
    const auto targets = relayTargets(m_network.members(), m_network.self(), heardFrom);
    for (const auto to : targets) {
        answer(to, after, configuration_relay_limits::changesPerAnswer);
    }
}

template<peer_network Network>
auto configuration_relay<Network>::answer(incarnation_id to, std::uint64_t after, std::size_t limit) -> void
{
    auto message = std::make_unique<wire::Envelope>();
    auto bytes = std::size_t(0);
    for (const auto &known : m_store.changesAfter(after, limit)) {
        bytes += known.value.size();
        if (bytes > configuration_relay_limits::bytesPerAnswer && message->changes_size() > 0) {
            break; // The rest is asked for again.
        }
        auto &change = *message->add_changes();
        change.set_sequence(known.sequence);
        change.set_value(known.value);
    }
    if (message->changes_size() > 0) {
        m_network.send(to, std::move(message));
    }
}

template<peer_network Network>
auto configuration_relay<Network>::receive(incarnation_id from, const wire::Envelope &message) -> void
{
    if (message.has_wanted_changes()) {
        const auto &wanted = message.wanted_changes();
        const auto limit = std::min<std::size_t>(wanted.limit(), configuration_relay_limits::changesPerAnswer);
        answer(from, wanted.after(), limit);
    }
    for (const auto &change : message.changes()) {
        if (change.sequence() > m_store.sequence()) {
            m_heardFrom[change.sequence()] = from;
            const auto result = m_store.offer(change.sequence(), change.value(), change_source::peer);
            if (result != offer_result::applied) {
                m_heardFrom.erase(change.sequence());
            }
        }
    }
    if (message.changes_size() > 0) {
        m_nextRequest = time_point(); // What is still missing can be asked for at once.
    }
}

template<peer_network Network>
auto configuration_relay<Network>::tick(time_point now) -> void
{
    auto ahead = std::vector<member>();
    auto highest = std::uint64_t(0);
    for (const auto &who : m_network.members()) {
        highest = std::max(highest, who.configurationSequence);
        if (who.configurationSequence > m_store.sequence() && who.incarnation != m_network.self().incarnation) {
            ahead.push_back(who);
        }
    }
    if (!m_caughtUp) {
        m_store.noteAnnounced(highest);
        m_caughtUp = m_store.isCurrent();
    }
    if (ahead.empty() || now < m_nextRequest) {
        return;
    }
    // Those heard directly first, then the own data centre; others in turn, as one may be unable to answer.
    const auto &own = m_network.self().dataCentre;
    std::sort(ahead.begin(), ahead.end(), [&](const member &left, const member &right) {
        const auto rank = [&](const member &who) {
            return std::tuple(!who.direct, who.dataCentre != own, who.incarnation);
        };
        return rank(left) < rank(right);
    });
    m_nextRequest = now + configuration_relay_limits::requestPause;
    auto message = std::make_unique<wire::Envelope>();
    message->mutable_wanted_changes()->set_after(m_store.sequence());
    message->mutable_wanted_changes()->set_limit(configuration_relay_limits::changesPerAnswer);
    m_network.send(ahead[m_requests++ % ahead.size()].incarnation, std::move(message));
}

} // namespace marjoramloom
