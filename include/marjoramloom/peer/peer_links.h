#pragma once

#include "marjoramloom/peer/nng_transport.h"
#include "marjoramloom/peer/peer_mesh.h"
#include "marjoramloom/peer/peer_network.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

namespace marjoramloom {

/// A router's links to the other routers over nng, driven by a timer on the decision strand.
///
/// All functions are to be called on the decision strand and callbacks run there; the destructor there, or after the
/// executor stopped for good.
class peer_links
{
public:
    /// Preconditions: \p strand runs one handler at a time, \p self has an incarnation, instance and data centre, and
    /// \p counters outlives the links. An empty self.peerAddress is taken from the listener.
    peer_links(boost::asio::any_io_executor strand, member self, peer_mesh_settings limits, counter_registry &counters);
    ~peer_links();
    peer_links(const peer_links &) = delete;
    auto operator=(const peer_links &) -> peer_links & = delete;

    /// Listens on \p address (IP:port; port 0 takes a free one) and starts to look for the others. False with the
    /// reason where the address cannot be had. Precondition: called once.
    auto start(const std::string &address, last_reason &why) -> bool;

    /// Closes all links. Nothing is sent or handed over afterwards.
    auto stop() -> void;

    /// Called with each envelope that holds more than a heartbeat.
    auto setReceiver(std::function<void(incarnation_id from, const wire::Envelope &message)> receiver) -> void;

    /// Called when a member joins, changes its readiness, or is gone.
    auto setMemberListener(std::function<void(const member_event &event)> listener) -> void;

    /// Addresses from the settings, to be dialled before the instance list is known.
    auto setSeeds(std::vector<std::string> seeds) -> void;

    /// The routers in the platform's instance list; other rows are ignored.
    auto setListed(const std::vector<listed_instance> &listed) -> void;

    /// Told to the others with the next heartbeat.
    auto setReady(bool ready) -> void;
    auto setLeaving(bool leaving) -> void;
    auto setConfigurationSequence(std::uint64_t sequence) -> void;
    auto setPlatformAge(duration age) -> void;

    /// Queues \p message for a live member; it is merged with others while the link is busy. False where the member is
    /// not known or its queue is full: then nothing of it is sent. Precondition: \p to is another router.
    auto send(incarnation_id to, std::unique_ptr<wire::Envelope> message) -> bool;

    /// Live members, itself included.
    [[nodiscard]] auto members() const -> std::vector<member>;

    [[nodiscard]] auto self() const -> const member &;

    /// The address that is listened on, with the port that was taken. Precondition: started.
    [[nodiscard]] auto listenAddress() const -> const std::string &;

    /// Connections to the peer port that were turned away, as they did not speak the protocol; a lower bound, as nng
    /// forgets some that come at once. Precondition: called on the strand.
    [[nodiscard]] auto rejectedConnections() const -> std::uint64_t;

    /// Addresses of the links that are held.
    [[nodiscard]] auto linkAddresses() const -> std::vector<std::string>;

private:
    struct state;

    std::shared_ptr<state> m_state;
};

static_assert(peer_network<peer_links>);

} // namespace marjoramloom
