#pragma once

#include "marjoramloom/core/last_reason.h"
#include "marjoramloom/peer/peer_mesh.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace marjoramloom {

/// Links over nng push and pull sockets on TCP: one listening socket for all peers, and one dialled socket per link.
///
/// nng calls back on its own threads; every event is posted to the executor. All functions must be called on the
/// executor. The destructor must be called there, or after the executor stopped for good.
class nng_transport
{
public:
    using message_handler = std::function<void(std::string bytes)>;
    using writable_handler = std::function<void(link_number link)>;

    /// Precondition: \p executor runs one handler at a time (a strand).
    explicit nng_transport(boost::asio::any_io_executor executor);
    ~nng_transport();
    nng_transport(const nng_transport &) = delete;
    auto operator=(const nng_transport &) -> nng_transport & = delete;

    /// Listens on \p address (IP:port; port 0 takes a free one). Returns false with the reason in \p why on failure.
    /// Precondition: called once.
    auto listen(const std::string &address, last_reason &why) -> bool;

    /// The listening address, with the actual port.
    [[nodiscard]] auto listenAddress() const -> const std::string &;

    auto setMessageHandler(message_handler handler) -> void;
    auto setWritableHandler(writable_handler handler) -> void;

    /// Starts to dial \p address and returns at once. nng retries while the connection is refused.
    auto open(const std::string &address) -> link_number;

    /// Closes a link. Data that was written but not sent yet is lost.
    auto close(link_number link) -> void;

    /// Whether the link can take a message.
    [[nodiscard]] auto isIdle(link_number link) const -> bool;

    /// Precondition: the link is idle.
    auto write(link_number link, std::string bytes) -> void;

    /// Number of connections to the listener that were rejected because they did not speak the protocol. This is a
    /// lower bound, as nng does not count some that arrive at the same time.
    [[nodiscard]] auto rejectedConnections() const -> std::uint64_t;

private:
    struct listener;
    struct outgoing_link;
    struct handlers;

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<handlers> m_handlers;
    std::unique_ptr<listener> m_listener;
    std::map<link_number, std::unique_ptr<outgoing_link>> m_links;
    std::string m_listenAddress;
    link_number m_lastLink = 0;
};

static_assert(link_transport<nng_transport>);

} // namespace marjoramloom
