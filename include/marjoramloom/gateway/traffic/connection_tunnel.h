#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/gateway/traffic/tunnelled_request.h"
#include "marjoramloom/router/memory_budget.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace marjoramloom {

/// Copies the bytes of a caller's connection to another router and back, unchanged and in both directions at once.
///
/// It works on bare descriptors in one edge-triggered epoll set, as most of the cost of a tunnel is that of its system
/// calls. The other router's process takes a tunnel by sending an opening, the version of its configuration. Nothing is
/// read from the caller before, so that until then the connection can go elsewhere. The end of one direction ends that
/// direction at the other side. Bytes are read only while the other side takes them. Not thread safe.
class connection_tunnel
{
public:
    enum class state : std::uint8_t {
        idle, ///< Not connected to a router.
        connecting, ///< The other router has not taken the tunnel yet.
        open,
        closed,
    };

    /// Identifies a descriptor of a tunnel in the epoll set.
    struct side
    {
        connection_tunnel *tunnel;
        bool isCaller;
    };

    /// Bytes that are read at once, and that wait for the other side at most.
    static constexpr std::size_t READ_BYTES = std::size_t(16) << 10U;
    /// Sent bytes that the other router does not confirm within this time end the tunnel.
    static constexpr duration UNCONFIRMED_TIME = std::chrono::milliseconds(1'500);

    /// The opening that a router with the configuration \p version sends: the version in network byte order.
    using opening = std::array<char, sizeof(std::uint64_t)>;
    [[nodiscard]] static auto makeOpening(std::uint64_t version) -> opening;

    /// Takes over the descriptor \p caller of an accepted connection. \p budget, which may be null, outlives the
    /// tunnel.
    connection_tunnel(int caller, memory_budget *budget);
    ~connection_tunnel();
    connection_tunnel(const connection_tunnel &) = delete;
    auto operator=(const connection_tunnel &) -> connection_tunnel & = delete;

    /// Whether the memory of the tunnel is within the budget. It must not be connected otherwise.
    [[nodiscard]] auto hasMemory() -> bool;

    /// Begins to connect to the router \p id at \p address, whose events go to the epoll set \p events. A router whose
    /// configuration is older than \p minVersion is not used. Returns false if connecting fails at once. Precondition:
    /// the state is idle.
    auto connect(std::uint64_t id, const boost::asio::ip::tcp::endpoint &address, std::uint64_t minVersion, int events)
        -> bool;

    /// Gives up a connection that is being made.
    auto disconnect() -> void;

    /// Handles the \p events of one descriptor, as epoll reports them.
    auto handle(const side &side, std::uint32_t events) -> void;

    /// Answers the caller with \p answer, after which its connection ends. The router's connection is reset, so that
    /// bytes which have not arrived there never do. Preconditions: the state is open; hasAnswer() is false.
    auto answerCaller(std::string_view answer) -> void;

    /// Closes the caller's connection within the answer, and resets the router's. Precondition: the state is open.
    auto breakOff() -> void;

    /// Closes both connections. The object must live until all events that were reported with it have been handled.
    auto close() -> void;

    [[nodiscard]] auto current() const -> state;
    [[nodiscard]] auto router() const -> std::uint64_t; ///< Id of the router it was last connected to.
    [[nodiscard]] auto request() const -> const tunnelled_request &; ///< What the caller has sent.
    [[nodiscard]] auto hasRequest() const -> bool; ///< Whether the caller has sent a byte.
    [[nodiscard]] auto hasAnswer() const -> bool; ///< Whether the router has sent a byte.
    [[nodiscard]] auto isCallerBehind() const -> bool; ///< Whether a part of the answer waits for the caller.
    [[nodiscard]] auto hasEnded() const -> bool; ///< Whether one direction has ended.

    /// Returns whether bytes were copied since the last call.
    auto takeProgress() -> bool;

    /// Returns whether bytes of the request were read since the last call.
    auto takeRequestProgress() -> bool;

private:
    struct direction
    {
        int &from;
        int &to;
        memory_use memoryUse;
        std::string unsent = {};
        std::size_t sent = 0; ///< Bytes of `unsent`.
        bool ended = false; ///< Nothing more is read, except to discard it.
        bool failed = false; ///< The other side takes nothing more.
    };

    auto takeOpening() -> void;
    auto begin() -> void;
    [[nodiscard]] auto hasCallerLeft() const -> bool;
    auto copy(direction &way, bool untilEnd) -> void;
    auto flush(direction &way) -> bool;
    auto send(direction &way, const char *bytes, std::size_t size) -> std::size_t;
    auto end(direction &way) -> void;

    int m_caller;
    int m_router = -1;
    int m_events = -1; ///< The epoll set; not owned.
    side m_callerSide{ this, true };
    side m_routerSide{ this, false };
    connection_memory m_memory;
    direction m_request;
    direction m_answer;
    std::uint64_t m_routerId = 0;
    std::uint64_t m_minVersion = 0;
    state m_state = state::idle;
    tunnelled_request m_requestBytes;
    bool m_hasAnswer = false;
    bool m_hasProgress = false;
    bool m_hasRequestProgress = false;
};

} // namespace marjoramloom
