#include "marjoramloom/peer/nng_transport.h"

#include "marjoramloom/peer/wire_version.h"

#include <boost/asio/post.hpp>
#include <cassert>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace marjoramloom {

namespace {

constexpr auto minReconnectMs = nng_duration(100);
constexpr auto maxReconnectMs = nng_duration(1'000);

auto takeMessage(nng_aio *aio) -> std::string
{
    auto *message = nng_aio_get_msg(aio);
    auto bytes = std::string(static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message));
    nng_msg_free(message);
    return bytes;
}

auto findChildValue(nng_stat *scope, std::string_view name) -> std::uint64_t
{
    for (auto *value = nng_stat_child(scope); value; value = nng_stat_next(value)) {
        if (nng_stat_name(value) == name) {
            return nng_stat_value(value);
        }
    }
    return 0;
}

} // namespace

/// Shared state of the callbacks, which may run after a link was closed or the transport was destroyed.
struct nng_transport::handlers
{
    message_handler message;
    writable_handler writable;
    nng_transport *owner = nullptr; ///< Null after the transport was destroyed.
};

/// The listening socket and its receive operation.
struct nng_transport::listener
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    nng_listener endpoint = NNG_LISTENER_INITIALIZER;
    nng_aio *aio = nullptr;
    boost::asio::any_io_executor executor;
    std::weak_ptr<handlers> target;

    ~listener()
    {
        nng_close(socket);
        if (aio) {
            nng_aio_free(aio);
        }
    }

    auto receiveNext() -> void
    {
        nng_recv_aio(socket, aio);
    }

    /// Called on a thread of nng. The next message is requested only after this one was handled, so that a peer cannot
    /// exhaust the memory.
    static auto onReceived(void *argument) -> void
    {
        auto &self = *static_cast<listener *>(argument);
        if (nng_aio_result(self.aio) != 0) {
            return; // The socket was closed.
        }
        boost::asio::post(self.executor, [target = self.target, bytes = takeMessage(self.aio)]() mutable {
            const auto alive = target.lock();
            if (!alive || !alive->owner) {
                return;
            }
            if (alive->message) {
                alive->message(std::move(bytes));
            }
            if (alive->owner) {
                alive->owner->m_listener->receiveNext();
            }
        });
    }
};

/// The socket and the send operation of one link.
struct nng_transport::outgoing_link
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    nng_aio *aio = nullptr;
    bool busy = false;
    link_number number = 0;
    boost::asio::any_io_executor executor;
    std::weak_ptr<handlers> target;

    ~outgoing_link()
    {
        nng_close(socket);
        nng_aio_free(aio);
    }

    /// Called on a thread of nng.
    static auto onSent(void *argument) -> void
    {
        auto &self = *static_cast<outgoing_link *>(argument);
        if (nng_aio_result(self.aio) != 0) {
            nng_msg_free(nng_aio_get_msg(self.aio)); // The socket was closed.
            return;
        }
        boost::asio::post(self.executor, [target = self.target, number = self.number] {
            const auto alive = target.lock();
            if (!alive || !alive->owner) {
                return;
            }
            const auto link = alive->owner->m_links.find(number);
            if (link == alive->owner->m_links.end()) {
                return;
            }
            link->second->busy = false;
            if (alive->writable) {
                alive->writable(number);
            }
        });
    }
};

nng_transport::nng_transport(boost::asio::any_io_executor executor)
    : m_executor(std::move(executor))
    , m_handlers(std::make_shared<handlers>())
{
    m_handlers->owner = this;
}

nng_transport::~nng_transport()
{
    m_handlers->owner = nullptr;
    m_links.clear();
    m_listener.reset();
}

auto nng_transport::listen(const std::string &address, last_reason &why) -> bool
{
    assert(!m_listener);
    auto created = std::make_unique<listener>();
    created->executor = m_executor;
    created->target = m_handlers;
    auto failure = nng_pull0_open(&created->socket);
    if (failure == 0) {
        failure = nng_aio_alloc(&created->aio, &listener::onReceived, created.get());
    }
    if (failure == 0) {
        nng_socket_set_size(created->socket, NNG_OPT_RECVMAXSZ, wireMessageLimit);
        failure = nng_listen(created->socket, ("tcp://" + address).c_str(), &created->endpoint, 0);
    }
    if (failure != 0) {
        why.fail(failure_kind::unavailable, "listen for peers", address, nng_strerror(failure));
        return false;
    }
    auto port = 0;
    nng_listener_get_int(created->endpoint, NNG_OPT_TCP_BOUND_PORT, &port);
    m_listenAddress = address.substr(0, address.rfind(':') + 1) + std::to_string(port);
    m_listener = std::move(created);
    m_listener->receiveNext();
    return true;
}

auto nng_transport::listenAddress() const -> const std::string &
{
    return m_listenAddress;
}

auto nng_transport::setMessageHandler(message_handler handler) -> void
{
    m_handlers->message = std::move(handler);
}

auto nng_transport::setWritableHandler(writable_handler handler) -> void
{
    m_handlers->writable = std::move(handler);
}

auto nng_transport::open(const std::string &address) -> link_number
{
    auto created = std::make_unique<outgoing_link>();
    created->number = ++m_lastLink;
    created->executor = m_executor;
    created->target = m_handlers;
    [[maybe_unused]] const auto opened = nng_push0_open(&created->socket);
    [[maybe_unused]] const auto allocated = nng_aio_alloc(&created->aio, &outgoing_link::onSent, created.get());
    assert(opened == 0 && allocated == 0);
    nng_aio_set_timeout(created->aio, NNG_DURATION_INFINITE);
    nng_socket_set_ms(created->socket, NNG_OPT_RECONNMINT, minReconnectMs);
    nng_socket_set_ms(created->socket, NNG_OPT_RECONNMAXT, maxReconnectMs);
    nng_dial(created->socket, ("tcp://" + address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    const auto number = created->number;
    m_links.emplace(number, std::move(created));
    return number;
}

auto nng_transport::close(link_number link) -> void
{
    m_links.erase(link);
}

auto nng_transport::isIdle(link_number link) const -> bool
{
    const auto found = m_links.find(link);
    return found != m_links.end() && !found->second->busy;
}

auto nng_transport::write(link_number link, std::string bytes) -> void
{
    auto &target = *m_links.at(link);
    assert(!target.busy);
    nng_msg *message = nullptr;
    [[maybe_unused]] const auto allocated = nng_msg_alloc(&message, bytes.size());
    assert(allocated == 0);
    std::copy(bytes.begin(), bytes.end(), static_cast<char *>(nng_msg_body(message)));
    target.busy = true;
    nng_aio_set_msg(target.aio, message);
    nng_send_aio(target.socket, target.aio);
}

auto nng_transport::rejectedConnections() const -> std::uint64_t
{
    nng_stat *all = nullptr;
    if (!m_listener || nng_stats_get(&all) != 0) {
        return 0;
    }
    const auto id = static_cast<std::uint64_t>(nng_listener_id(m_listener->endpoint));
    auto rejected = std::uint64_t(0);
    for (auto *scope = nng_stat_child(all); scope; scope = nng_stat_next(scope)) {
        if (nng_stat_name(scope) == std::string_view("listener") && findChildValue(scope, "id") == id) {
            rejected = findChildValue(scope, "proto");
        }
    }
    nng_stats_free(all);
    return rejected;
}

} // namespace marjoramloom
