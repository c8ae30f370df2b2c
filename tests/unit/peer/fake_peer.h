#pragma once

#include "fake_network.h"
#include "marjoramloom/peer/peer_network.h"

namespace marjoramloom {

/// Provides one router of the fake network as a peer_network.
class fake_peer
{
public:
    fake_peer(fake_network &network, std::string instance)
        : m_network(network)
        , m_instance(std::move(instance))
    {
    }

    auto send(incarnation_id to, std::unique_ptr<wire::Envelope> message) -> bool
    {
        return mesh().send(to, std::move(message), m_network.now());
    }
    [[nodiscard]] auto members() -> std::vector<member>
    {
        return mesh().routers().members(m_network.now());
    }
    [[nodiscard]] auto self() -> member &
    {
        return mesh().routers().self();
    }
    [[nodiscard]] auto mesh() -> peer_mesh<fake_transport> &
    {
        return *m_network.at(m_instance).mesh;
    }

private:
    fake_network &m_network;
    std::string m_instance;
};

static_assert(peer_network<fake_peer>);

} // namespace marjoramloom
