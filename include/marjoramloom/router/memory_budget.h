#pragma once

#include "marjoramloom/core/counters.h"
#include "marjoramloom/router/memory_ledger.h"

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace marjoramloom {

class connection_memory;

/// The memory for the requests and answers of all connections: applies the decisions of memory_ledger, counts and logs
/// them. Not thread safe: used on the only thread of an event loop.
class memory_budget
{
public:
    /// Precondition: \p counters outlives the budget.
    memory_budget(std::size_t limitBytes, counter_registry &counters);

    /// Changes the limit, in bytes.
    auto setLimit(std::size_t limitBytes) -> void;

    /// Limit for the connections of a process that may use \p memoryMegabytes (of 2^20 bytes): the rest is a reserve
    /// for the process itself, half of the memory, but at most MAX_RESERVE_BYTES. 0 stands for DEFAULT_MEGABYTES.
    static auto limitFor(std::uint32_t memoryMegabytes) -> std::size_t;

    /// A router of a fleet of 62 uses 13 to 20 MB by itself. Its control state at the target size (340 routers, 2,800
    /// engines) may take 64 MB, and up to twice the largest body is in use for a moment while a body grows.
    static constexpr std::size_t MAX_RESERVE_BYTES = std::size_t(128) << 20U;
    /// Memory of a process without the setting: as much as the largest machines of the known deployments have.
    static constexpr std::uint32_t DEFAULT_MEGABYTES = 512;

private:
    friend class connection_memory;

    auto grow(connection_memory &asking, std::size_t bytes) -> bool;

    memory_ledger m_ledger;
    std::unordered_map<const memory_ledger::holder *, connection_memory *> m_connections;
    counter &m_evictions;
    counter &m_refusals;
};

/// What the memory of a connection is used for.
enum class memory_use : std::uint8_t {
    connection, ///< The connection itself.
    forwarding, ///< The forwarding of the request: the connection to the backend server and its buffers.
    request, ///< Head and body of the request, and their buffers.
    answer, ///< The part of the answer that is read from the server and not yet sent to the caller.
};

/// The memory that one connection holds of a budget; none is counted without a budget. Not thread safe.
class connection_memory
{
public:
    /// Memory of a connection without a request: the frames of its coroutines and the state of its socket.
    static constexpr std::size_t CONNECTION_BYTES = std::size_t(8) << 10U;

    /// Memory for forwarding a request: the buffers of the connection to the backend server and the frames of the
    /// coroutines.
    static constexpr std::size_t FORWARDING_BYTES = std::size_t(24) << 10U;

    /// \p budget may be null; else it outlives the object. \p peer is the address of the client.
    connection_memory(memory_budget *budget, std::string_view peer);
    ~connection_memory();
    connection_memory(const connection_memory &) = delete;
    auto operator=(const connection_memory &) -> connection_memory & = delete;

    /// Sets the bytes that are held for \p use. Returns false, and changes nothing, if there is no room for more.
    auto hold(memory_use use, std::size_t bytes) -> bool;

    /// Counts the memory for \p account instead of the address of the client.
    auto setAccount(std::string_view account) -> void;

    auto noteProgress() -> void;

    /// Calls \p evict once if the memory is needed for others. It must release memory or close the connection.
    /// \p what names what is evicted, for the log.
    auto allowEviction(std::string_view what, std::function<void()> evict) -> void;

    auto forbidEviction() -> void;

private:
    friend class memory_budget;

    memory_budget *m_budget;
    std::string m_peer; ///< For the log.
    memory_ledger::holder *m_holder = nullptr;
    std::array<std::size_t, 4> m_bytes{};
    std::string_view m_what;
    std::function<void()> m_evict;
};

/// Allows eviction for as long as the object lives. Not thread safe.
class eviction_scope
{
public:
    /// Preconditions: \p memory outlives the scope; it has no other scope.
    eviction_scope(connection_memory &memory, std::string_view what, std::function<void()> evict)
        : m_memory(memory)
    {
        m_memory.allowEviction(what, std::move(evict));
    }
    ~eviction_scope()
    {
        m_memory.forbidEviction();
    }
    eviction_scope(const eviction_scope &) = delete;
    auto operator=(const eviction_scope &) -> eviction_scope & = delete;

private:
    connection_memory &m_memory;
};

} // namespace marjoramloom
