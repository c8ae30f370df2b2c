#include "marjoramloom/peer/relay_plan.h"
#include "peer.pb.h"

#include <algorithm>

namespace marjoramloom {

namespace configuration_relay_limits {

constexpr auto requestInterval = std::chrono::milliseconds(500);
constexpr auto maxChangesPerMessage = std::size_t(256);
constexpr auto maxBytesPerMessage = std::size_t(768) << 10U; ///< Below peer_session_settings::maxPendingBytes.

} // namespace configuration_relay_limits

template<peer_network Network>
configuration_relay<Network>::configuration_relay(Network &network, configuration_store &store)
    : m_network(network)
    , m_store(store)
    , m_relayedSequence(store.sequence())
{
}

template<peer_network Network>
auto configuration_relay<Network>::onApplied(std::uint64_t sequence) -> void
{
    if (sequence <= m_relayedSequence) {
        return;
    }
    const auto source = m_receivedFrom.lower_bound(sequence);
    const auto from = source == m_receivedFrom.end() ? 0 : source->second;
    const auto after = m_relayedSequence;
    m_relayedSequence = sequence;
    m_receivedFrom.erase(m_receivedFrom.begin(), m_receivedFrom.upper_bound(sequence));
    // A router that starts empty does not relay the changes that it catches up on: other routers already have them, and
    // a router that lacks them requests them.
    const auto isCatchUp = after == 0;
    if (!isCatchUp || sequence == 1) {
        relayChanges(from, after);
    }
}

template<peer_network Network>
auto configuration_relay<Network>::relayChanges(incarnation_id receivedFrom, std::uint64_t after) -> void
{
    const auto targets = relayTargets(m_network.members(), m_network.self(), receivedFrom);
    for (const auto to : targets) {
        sendChanges(to, after, configuration_relay_limits::maxChangesPerMessage);
    }
}

template<peer_network Network>
auto configuration_relay<Network>::sendChanges(incarnation_id to, std::uint64_t after, std::size_t limit) -> void
{
    auto message = std::make_unique<wire::Envelope>();
    auto bytes = std::size_t(0);
    for (const auto &stored : m_store.changesAfter(after, limit)) {
        bytes += stored.value.size();
        if (bytes > configuration_relay_limits::maxBytesPerMessage && message->changes_size() > 0) {
            break; // The receiver requests the remaining changes.
        }
        auto &change = *message->add_changes();
        change.set_sequence(stored.sequence);
        change.set_value(stored.value);
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
        const auto limit = std::min<std::size_t>(wanted.limit(), configuration_relay_limits::maxChangesPerMessage);
        sendChanges(from, wanted.after(), limit);
    }
    for (const auto &change : message.changes()) {
        if (change.sequence() > m_store.sequence()) {
            m_receivedFrom[change.sequence()] = from;
            const auto result = m_store.offer(change.sequence(), change.value(), change_source::peer);
            if (result != offer_result::applied) {
                m_receivedFrom.erase(change.sequence());
            }
        }
    }
    if (message.changes_size() > 0) {
        m_nextRequest = time_point(); // Allows an immediate request for changes that are still missing.
    }
}

template<peer_network Network>
auto configuration_relay<Network>::tick(time_point now) -> void
{
    auto routersAhead = std::vector<member>();
    auto highest = std::uint64_t(0);
    for (const auto &router : m_network.members()) {
        highest = std::max(highest, router.configurationSequence);
        if (router.configurationSequence > m_store.sequence() && router.incarnation != m_network.self().incarnation) {
            routersAhead.push_back(router);
        }
    }
    if (!m_caughtUp) {
        m_store.notePeerSequence(highest);
        m_caughtUp = m_store.isUpToDate();
    }
    if (routersAhead.empty() || now < m_nextRequest) {
        return;
    }
    // Prefer routers that are heard directly, then those of this data centre. Each request goes to the next one, as one
    // router may be unable to answer.
    const auto &own = m_network.self().dataCentre;
    std::sort(routersAhead.begin(), routersAhead.end(), [&](const member &left, const member &right) {
        const auto rank = [&](const member &router) {
            return std::tuple(!router.heardDirectly, router.dataCentre != own, router.incarnation);
        };
        return rank(left) < rank(right);
    });
    m_nextRequest = now + configuration_relay_limits::requestInterval;
    auto message = std::make_unique<wire::Envelope>();
    message->mutable_wanted_changes()->set_after(m_store.sequence());
    message->mutable_wanted_changes()->set_limit(configuration_relay_limits::maxChangesPerMessage);
    m_network.send(routersAhead[m_requestCount++ % routersAhead.size()].incarnation, std::move(message));
}

} // namespace marjoramloom
