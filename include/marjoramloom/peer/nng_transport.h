#pragma once

#include "marjoramloom/core/last_reason.h"
#include "marjoramloom/peer/peer_mesh.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace marjoramloom {

/// Links over nng push and pull sockets on TCP: one listener for all peers, one dialled socket per link.
///
/// nng calls back on threads of its own; everything is handed to the executor. All functions are to be called there,
/// the destructor there or after the executor stopped for good.
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

    /// Starts to listen on \p address (IP:port; port 0 takes a free one). False with the reason where that fails.
    /// Precondition: called once.
    auto listen(const std::string &address, last_reason &why) -> bool;

    /// The address that is listened on, with the port that was taken.
    [[nodiscard]] auto listenAddress() const -> const std::string &;

    auto setMessageHandler(message_handler handler) -> void;
    auto setWritableHandler(writable_handler handler) -> void;

    /// Starts to dial; nng tries again while the address refuses.
    auto open(const std::string &address) -> link_number;

    /// Closes a link; what was written and not yet taken by the network is lost.
    auto close(link_number link) -> void;

    /// Whether the link can take a message.
    [[nodiscard]] auto isIdle(link_number link) const -> bool;

    /// Precondition: the link is idle.
    auto write(link_number link, std::string bytes) -> void;

    /// Connections to the listener that were turned away, as they did not speak the protocol; a lower bound, as nng
    /// forgets some that come at once.
    [[nodiscard]] auto rejectedConnections() const -> std::uint64_t;

private:
    struct listener;
    struct outgoing;
    struct handlers;

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<handlers> m_handlers;
    std::unique_ptr<listener> m_listener;
    std::map<link_number, std::unique_ptr<outgoing>> m_links;
    std::string m_listenAddress;
    link_number m_last = 0;
};

static_assert(link_transport<nng_transport>);

} // namespace marjoramloom
