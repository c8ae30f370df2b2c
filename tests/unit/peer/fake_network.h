#pragma once

#include "marjoramloom/peer/peer_mesh.h"
#include "peer.pb.h"

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace marjoramloom {

class fake_network;

/// Transport of one router on the fake network.
class fake_transport
{
public:
    fake_transport(fake_network &network, std::string address)
        : m_network(network)
        , m_address(std::move(address))
    {
    }

    auto open(const std::string &address) -> link_number;
    auto close(link_number link) -> void
    {
        m_targets.erase(link);
    }
    [[nodiscard]] auto isIdle(link_number link) const -> bool
    {
        return m_targets.contains(link);
    }
    auto write(link_number link, std::string bytes) -> void;

private:
    fake_network &m_network;
    std::string m_address;
    std::map<link_number, std::string> m_targets;
};

/// A router of the fake network.
struct fake_router
{
    std::unique_ptr<fake_transport> transport;
    std::unique_ptr<peer_mesh<fake_transport>> mesh;
    bool paused = false;
    std::vector<std::uint64_t> received; ///< Serials of withdrawals, which tests use as payload.
    std::vector<member_event> events;
    std::map<incarnation_id, int> joins;
};

/// Simulates a network of routers on a manual clock. Links have seeded loss, delay and reordering. They can be cut in
/// one direction or frozen (old connections drop all data, new ones work), and a router can be paused.
class fake_network
{
public:
    static constexpr auto step = std::chrono::milliseconds(10);

    explicit fake_network(std::uint32_t seed, peer_mesh_settings limits = {})
        : m_random(seed)
        , m_limits(limits)
    {
    }

    auto add(const std::string &instance, const std::string &dataCentre, std::vector<std::string> seeds,
             incarnation_id incarnation = 0) -> fake_router &
    {
        auto self = member();
        self.instance = instance;
        self.dataCentre = dataCentre;
        self.region = dataCentre.substr(0, dataCentre.find('-'));
        self.peerAddress = instance + ":1";
        self.incarnation = incarnation != 0 ? incarnation : ++m_lastIncarnation;
        self.ready = true;
        auto &router = m_routers[instance];
        router = fake_router();
        router.transport = std::make_unique<fake_transport>(*this, self.peerAddress);
        router.mesh = std::make_unique<peer_mesh<fake_transport>>(self, m_limits, *router.transport, counters, now());
        router.mesh->setSeeds(std::move(seeds));
        router.mesh->routers().setListedRouters(listed);
        router.mesh->setReceiver([&router](incarnation_id, const wire::Envelope &message) {
            for (const auto &withdrawal : message.withdrawals()) {
                router.received.push_back(withdrawal.serial());
            }
        });
        router.mesh->setMemberListener([&router](const member_event &event) { router.events.push_back(event); });
        return router;
    }

    auto remove(const std::string &instance) -> void
    {
        m_routers.erase(instance);
    }

    [[nodiscard]] auto at(const std::string &instance) -> fake_router &
    {
        return m_routers.at(instance);
    }

    [[nodiscard]] auto incarnationOf(const std::string &instance) -> incarnation_id
    {
        return at(instance).mesh->routers().self().incarnation;
    }

    [[nodiscard]] auto now() const -> time_point
    {
        return m_clock.now();
    }

    /// Drops messages from \p from to \p to.
    auto cut(const std::string &from, const std::string &to) -> void
    {
        m_cuts.insert({ from + ":1", to + ":1" });
    }

    auto heal() -> void
    {
        m_cuts.clear();
    }

    /// Drops all data on the connections opened so far from \p from to \p to; new ones work.
    auto freeze(const std::string &from, const std::string &to) -> void
    {
        m_frozen[{ from + ":1", to + ":1" }] = m_lastLink;
    }

    /// Cuts the links in both directions between the routers of \p left and all others.
    auto partition(const std::set<std::string> &left) -> void
    {
        for (const auto &[one, first] : m_routers) {
            for (const auto &[other, second] : m_routers) {
                if (left.contains(one) != left.contains(other)) {
                    cut(one, other);
                }
            }
        }
    }

    auto run(duration length) -> void
    {
        for (const auto end = now() + length; now() < end;) {
            m_clock.advance(period);
            deliver();
            for (auto &[instance, router] : m_routers) {
                if (!router.paused) {
                    router.mesh->tick(now());
                }
            }
        }
    }

    /// Sends a withdrawal with serial \p serial as payload.
    auto send(const std::string &from, const std::string &to, std::uint64_t serial) -> bool
    {
        auto message = std::make_unique<wire::Envelope>();
        auto &withdrawal = *message->add_withdrawals();
        withdrawal.set_router(1);
        withdrawal.set_serial(serial);
        return at(from).mesh->send(incarnationOf(to), std::move(message), now());
    }

    /// Whether each router of \p instances knows exactly these routers.
    [[nodiscard]] auto haveSameView(const std::set<std::string> &instances) -> bool
    {
        return std::all_of(instances.begin(), instances.end(), [&](const std::string &instance) {
            auto known = std::set<std::string>();
            for (const auto &peer : at(instance).mesh->routers().members(now())) {
                known.insert(peer.instance);
            }
            return known == instances;
        });
    }

    /// Advances the clock until \p condition holds or \p limit has elapsed. Returns the time it took, or nothing if the
    /// condition does not hold.
    template<typename Condition>
    auto runUntil(duration limit, Condition condition) -> std::optional<duration>
    {
        const auto start = now();
        while (now() - start < limit) {
            if (condition()) {
                return now() - start;
            }
            run(step);
        }
        return condition() ? std::optional(now() - start) : std::nullopt;
    }

    counter_registry counters;
    duration period = step; ///< Time between two ticks.
    std::vector<listed_instance> listed; ///< Instance list of routers added from now on.
    double loss = 0;
    duration delay = std::chrono::milliseconds(1);
    duration jitter{}; ///< Maximum random extra delay. It can reorder messages of different connections.
    std::map<std::string, std::uint64_t> bytes; ///< Bytes written, by the sender's address.
    std::map<std::string, std::uint64_t> envelopes; ///< Envelopes written, by the sender's address.

private:
    friend class fake_transport;

    /// A message in transit.
    struct packet
    {
        std::string to;
        std::string bytes;
    };

    auto openLink() -> link_number
    {
        return ++m_lastLink;
    }

    auto write(const std::string &from, const std::string &to, link_number link, std::string data) -> void
    {
        bytes[from] += data.size();
        ++envelopes[from];
        auto chance = boost::random::uniform_real_distribution<double>(0, 1);
        const auto frozen = m_frozen.find({ from, to });
        const auto silent = frozen != m_frozen.end() && link <= frozen->second;
        if (silent || m_cuts.contains({ from, to }) || chance(m_random) < loss) {
            return;
        }
        const auto extra = fromSeconds(toSeconds(jitter) * chance(m_random));
        auto &last = m_lastArrival[link];
        // Messages of one connection stay in order; those of different connections may not.
        last = std::max(last, now() + delay + extra);
        m_packets.emplace(last, packet{ to, std::move(data) });
    }

    auto deliver() -> void
    {
        auto undelivered = std::vector<packet>();
        while (!m_packets.empty() && m_packets.begin()->first <= now()) {
            auto next = std::move(m_packets.begin()->second);
            m_packets.erase(m_packets.begin());
            const auto router = m_routers.find(next.to.substr(0, next.to.find(':')));
            if (router == m_routers.end()) {
                continue;
            }
            if (router->second.paused) {
                undelivered.push_back(std::move(next)); // The kernel would buffer it for the paused process.
                continue;
            }
            router->second.mesh->receive(next.bytes, now());
        }
        for (auto &entry : undelivered) {
            m_packets.emplace(now(), std::move(entry));
        }
    }

    manual_clock m_clock;
    boost::random::mt19937 m_random;
    peer_mesh_settings m_limits;
    std::map<std::string, fake_router> m_routers;
    std::multimap<time_point, packet> m_packets;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::map<std::pair<std::string, std::string>, link_number> m_frozen;
    std::map<link_number, time_point> m_lastArrival;
    link_number m_lastLink = 0;
    incarnation_id m_lastIncarnation = 1'000;
};

inline auto fake_transport::open(const std::string &address) -> link_number
{
    const auto number = m_network.openLink();
    m_targets[number] = address;
    return number;
}

inline auto fake_transport::write(link_number link, std::string bytes) -> void
{
    m_network.write(m_address, m_targets.at(link), link, std::move(bytes));
}

} // namespace marjoramloom
