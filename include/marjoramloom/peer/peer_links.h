#pragma once

#include "marjoramloom/peer/nng_transport.h"
#include "marjoramloom/peer/peer_mesh.h"
#include "marjoramloom/peer/peer_network.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

namespace marjoramloom {

/// Links of a router to the other routers over nng, driven by a timer on the decision strand.
///
/// All functions must be called on the decision strand, and callbacks run there. The destructor must be called there,
/// or after the executor stopped for good.
class peer_links
{
public:
    /// Preconditions: \p strand runs one handler at a time, \p self has an incarnation, instance name and data centre,
    /// and \p counters outlives the links. If self.peerAddress is empty, the listening address is used.
    peer_links(boost::asio::any_io_executor strand, member self, peer_mesh_settings limits, counter_registry &counters);
    ~peer_links();
    peer_links(const peer_links &) = delete;
    auto operator=(const peer_links &) -> peer_links & = delete;

    /// Listens on \p address (IP:port; port 0 takes a free one) and starts to connect to other routers. Returns false
    /// with the reason in \p why if it cannot listen there. Precondition: called once.
    auto start(const std::string &address, last_reason &why) -> bool;

    /// Closes all links. Nothing is sent or received afterwards.
    auto stop() -> void;

    /// Sets the function that is called with each envelope that holds more than a heartbeat.
    auto setReceiver(std::function<void(incarnation_id from, const wire::Envelope &message)> receiver) -> void;

    /// Sets the function that is called when a member joins, changes its state, or is lost.
    auto setMemberListener(std::function<void(const member_event &event)> listener) -> void;

    /// Sets addresses from the settings, which are dialled until the member behind them is known.
    auto setSeeds(std::vector<std::string> seeds) -> void;

    /// Updates the routers of the platform's instance list; entries of other roles are ignored.
    auto setListedRouters(const std::vector<listed_instance> &listed) -> void;

    /// Announced to the other routers with the next heartbeat.
    auto setReady(bool ready) -> void;
    auto setLeaving(bool leaving) -> void;
    auto setConfigurationSequence(std::uint64_t sequence) -> void;
    auto setPlatformAge(duration age) -> void;

    /// Queues \p message for a live member; it is merged with others while the link is busy. Returns false, and sends
    /// nothing, where the member is unknown or its queue is full. Precondition: \p to is another router.
    auto send(incarnation_id to, std::unique_ptr<wire::Envelope> message) -> bool;

    /// Live members, including this router.
    [[nodiscard]] auto members() const -> std::vector<member>;

    [[nodiscard]] auto self() const -> const member &;

    /// The listening address, with the actual port. Precondition: started.
    [[nodiscard]] auto listenAddress() const -> const std::string &;

    /// Number of connections to the peer port that were rejected because they did not speak the protocol. This is a
    /// lower bound, as nng does not count some that arrive at the same time.
    [[nodiscard]] auto rejectedConnections() const -> std::uint64_t;

    /// Addresses of all open links.
    [[nodiscard]] auto linkAddresses() const -> std::vector<std::string>;

private:
    struct state;

    std::shared_ptr<state> m_state;
};

static_assert(peer_network<peer_links>);

} // namespace marjoramloom
