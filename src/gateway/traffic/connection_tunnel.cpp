#include "marjoramloom/gateway/traffic/connection_tunnel.h"

#include <array>
#include <boost/endian/conversion.hpp>
#include <cassert>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace marjoramloom {

namespace {

constexpr std::uint32_t bothWays = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;

auto isTemporary(int error) -> bool
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

auto closeDescriptor(int &descriptor) -> void
{
    if (descriptor >= 0) {
        ::close(std::exchange(descriptor, -1));
    }
}

/// Closes the connection without sending what is still queued, for example behind a cut of the network.
auto resetDescriptor(int &descriptor) -> void
{
    const auto atOnce = linger{ .l_onoff = 1, .l_linger = 0 };
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
    closeDescriptor(descriptor);
}

auto addTo(int events, int descriptor, connection_tunnel::side &side) -> bool
{
    auto event = epoll_event{ .events = bothWays, .data = { .ptr = &side } };
    return ::epoll_ctl(events, EPOLL_CTL_ADD, descriptor, &event) == 0;
}

} // namespace

connection_tunnel::connection_tunnel(int caller, memory_budget *budget)
    : m_caller(caller)
    , m_memory(budget, "tunnel")
    , m_request{ .from = m_caller, .to = m_router, .memoryUse = memory_use::request }
    , m_answer{ .from = m_router, .to = m_caller, .memoryUse = memory_use::answer }
{
}

connection_tunnel::~connection_tunnel()
{
    close();
}

auto connection_tunnel::hasMemory() -> bool
{
    return m_memory.hold(memory_use::connection, connection_memory::CONNECTION_BYTES);
}

auto connection_tunnel::makeOpening(std::uint64_t version) -> opening
{
    const auto ordered = boost::endian::native_to_big(version);
    auto bytes = opening();
    std::memcpy(bytes.data(), &ordered, sizeof(ordered));
    return bytes;
}

auto connection_tunnel::connect(std::uint64_t id, const boost::asio::ip::tcp::endpoint &address,
                                std::uint64_t minVersion, int events) -> bool
{
    assert(m_state == state::idle);
    m_routerId = id;
    m_minVersion = minVersion;
    m_events = events;
    m_router = ::socket(address.protocol().family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP);
    if (m_router < 0) {
        return false;
    }
    const auto result = ::connect(m_router, address.data(), static_cast<socklen_t>(address.size()));
    if ((result != 0 && errno != EINPROGRESS) || !addTo(events, m_router, m_routerSide)) {
        closeDescriptor(m_router);
        return false;
    }
    m_state = state::connecting;
    return true;
}

auto connection_tunnel::disconnect() -> void
{
    if (m_state == state::connecting) {
        closeDescriptor(m_router);
        m_state = state::idle;
    }
}

auto connection_tunnel::handle(const side &side, std::uint32_t events) -> void
{
    if (m_state == state::connecting && !side.isCaller) {
        if ((events & EPOLLIN) != 0) {
            takeOpening();
        } else if ((events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP)) != 0) {
            disconnect();
        }
        return;
    }
    const auto isRouterClosed = !side.isCaller && m_router < 0;
    if (m_state != state::open || isRouterClosed) {
        return;
    }
    auto &input = side.isCaller ? m_request : m_answer;
    auto &output = side.isCaller ? m_answer : m_request;
    if ((events & EPOLLOUT) != 0 && !output.unsent.empty() && flush(output)) {
        // An end that was reported meanwhile was left unread.
        copy(output, true);
    }
    const auto hasEnded = (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
    if (((events & EPOLLIN) != 0 || hasEnded) && input.unsent.empty()) {
        copy(input, hasEnded);
    }
    if (m_state == state::open && (events & EPOLLERR) != 0) {
        close();
    }
}

/// Reads the opening of the other router; without a whole one, or with one of an older configuration, it is not used.
auto connection_tunnel::takeOpening() -> void
{
    auto bytes = opening();
    const auto received = ::recv(m_router, bytes.data(), bytes.size(), MSG_DONTWAIT);
    auto version = std::uint64_t(0);
    std::memcpy(&version, bytes.data(), sizeof(version));
    if (received < 0 && isTemporary(errno)) {
        return;
    }
    if (received != static_cast<ssize_t>(bytes.size()) || boost::endian::big_to_native(version) < m_minVersion) {
        disconnect();
        return;
    }
    begin();
}

/// Begins to copy, unless the caller has left meanwhile.
auto connection_tunnel::begin() -> void
{
    m_state = state::open;
    // Events are forwarded as they arrive.
    const int enabled = 1;
    const auto unconfirmed =
        static_cast<unsigned>(std::chrono::duration_cast<std::chrono::milliseconds>(UNCONFIRMED_TIME).count());
    ::setsockopt(m_router, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    ::setsockopt(m_router, IPPROTO_TCP, TCP_USER_TIMEOUT, &unconfirmed, sizeof(unconfirmed));
    if (!addTo(m_events, m_caller, m_callerSide) || hasCallerLeft()) {
        close();
        return;
    }
    copy(m_request, true);
    copy(m_answer, true);
}

/// Whether the caller has closed its connection, also behind bytes that are unread.
auto connection_tunnel::hasCallerLeft() const -> bool
{
    auto polled = pollfd{ .fd = m_caller, .events = POLLRDHUP, .revents = 0 };
    return ::poll(&polled, 1, 0) == 1 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

auto connection_tunnel::answerCaller(std::string_view answer) -> void
{
    assert(m_state == state::open && !m_hasAnswer);
    resetDescriptor(m_router);
    std::string().swap(m_request.unsent);
    m_memory.hold(memory_use::request, 0);
    // The rest of the request is read and discarded: a connection that is closed with unread bytes is reset, and the
    // caller would lose the answer.
    m_request.failed = true;
    if (send(m_answer, answer.data(), answer.size()) < answer.size()) {
        close();
        return;
    }
    end(m_answer);
}

auto connection_tunnel::breakOff() -> void
{
    assert(m_state == state::open);
    resetDescriptor(m_router);
    close();
}

auto connection_tunnel::close() -> void
{
    closeDescriptor(m_caller);
    closeDescriptor(m_router);
    m_state = state::closed;
}

auto connection_tunnel::current() const -> state
{
    return m_state;
}

auto connection_tunnel::router() const -> std::uint64_t
{
    return m_routerId;
}

auto connection_tunnel::request() const -> const tunnelled_request &
{
    return m_requestBytes;
}

auto connection_tunnel::hasRequest() const -> bool
{
    return m_requestBytes.hasBegun();
}

auto connection_tunnel::hasAnswer() const -> bool
{
    return m_hasAnswer;
}

auto connection_tunnel::isCallerBehind() const -> bool
{
    return !m_answer.unsent.empty();
}

auto connection_tunnel::hasEnded() const -> bool
{
    return m_request.ended || m_answer.ended;
}

auto connection_tunnel::takeProgress() -> bool
{
    return std::exchange(m_hasProgress, false);
}

auto connection_tunnel::takeRequestProgress() -> bool
{
    return std::exchange(m_hasRequestProgress, false);
}

/// Copies what can be read and sent without waiting. After a read that did not fill the buffer, the next bytes cause
/// another event; an end that was reported together with them does not, so that \p untilEnd must be set for it.
auto connection_tunnel::copy(direction &way, bool untilEnd) -> void
{
    static auto buffer = std::array<char, READ_BYTES>();
    while (m_state == state::open && !way.ended) {
        const auto received = ::recv(way.from, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (received < 0 && errno == EINTR) {
            continue;
        }
        if (received < 0 && isTemporary(errno)) {
            return;
        }
        if (received <= 0) {
            end(way);
            return;
        }
        m_hasProgress = true;
        const auto size = static_cast<std::size_t>(received);
        if (&way == &m_request) {
            m_requestBytes.add({ buffer.data(), size });
            m_hasRequestProgress = true;
        } else {
            m_hasAnswer = true;
        }
        const auto written = send(way, buffer.data(), size);
        if (written < size) {
            // One part is kept in any case, as it was read.
            way.unsent.assign(buffer.data() + written, size - written);
            way.sent = 0;
            m_memory.hold(way.memoryUse, way.unsent.capacity());
            return;
        }
        if (size < buffer.size() && !untilEnd) {
            return;
        }
    }
}

/// Sends `unsent`. Returns whether all of it was sent.
auto connection_tunnel::flush(direction &way) -> bool
{
    way.sent += send(way, way.unsent.data() + way.sent, way.unsent.size() - way.sent);
    if (way.sent < way.unsent.size()) {
        return false;
    }
    std::string().swap(way.unsent);
    m_memory.hold(way.memoryUse, 0);
    return true;
}

/// Returns the number of bytes that the other side took. A router that takes no more of a request may have answered it,
/// so that the rest of the request is read and discarded; a caller that takes no more has left.
auto connection_tunnel::send(direction &way, const char *bytes, std::size_t size) -> std::size_t
{
    if (way.failed) {
        return size;
    }
    const auto written = ::send(way.to, bytes, size, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (written >= 0) {
        m_hasProgress = m_hasProgress || written > 0;
        return static_cast<std::size_t>(written);
    }
    if (isTemporary(errno)) {
        return 0;
    }
    way.failed = true;
    if (&way == &m_answer) {
        ::shutdown(m_router, SHUT_RDWR);
    }
    return size;
}

/// Passes on the end of a direction; closes both connections once both have ended.
auto connection_tunnel::end(direction &way) -> void
{
    way.ended = true;
    if (m_request.ended && m_answer.ended) {
        close();
    } else if (!way.failed) {
        ::shutdown(way.to, SHUT_WR);
    }
}

} // namespace marjoramloom
