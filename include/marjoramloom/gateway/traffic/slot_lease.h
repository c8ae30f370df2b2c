#pragma once

#include "marjoramloom/core/clock.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace marjoramloom {

/// Message by which a router returns a grant to the dispatcher.
struct slot_release
{
    std::uint64_t dispatcher = 0; ///< Its incarnation.
    std::uint64_t grant = 0; ///< From slot_grants::add().
    duration latency{}; ///< From sending the request to its answer; 0 if it was not answered.
    bool serverFull = false; ///< The server refused the request as it was full.
};

/// The grants that this router holds from dispatchers. Not thread safe.
class held_grants
{
public:
    using send_release = std::function<void(std::uint64_t router, const slot_release &release)>;

    /// The grants of one dispatcher.
    struct dispatcher_grants
    {
        std::uint64_t router = 0; ///< Router id of the dispatcher.
        std::uint64_t last = 0; ///< Highest number received.
        std::set<std::uint64_t> held; ///< Numbers of the grants whose requests have not ended.
    };

    /// \p send delivers a release to the router with that id, or loses it silently.
    explicit held_grants(send_release send);

    /// Adds a grant of the dispatcher with the incarnation \p dispatcher, which is the router with the id \p router.
    auto add(std::uint64_t router, std::uint64_t dispatcher, std::uint64_t grant) -> void;

    /// Removes the grant and sends the release to the dispatcher, which is the router with the id \p router.
    auto release(std::uint64_t router, const slot_release &release) -> void;

    /// The grants by the incarnation of their dispatcher.
    [[nodiscard]] auto all() const -> const std::unordered_map<std::uint64_t, dispatcher_grants> &;

private:
    /// Dispatchers without grants are removed once this many are known. A dispatcher that is removed before the next
    /// report counts its ended grants until they expire, so this exceeds the number of shards at 2,800 engines (128).
    static constexpr std::size_t MAX_DISPATCHERS = 512;

    send_release m_send;
    std::unordered_map<std::uint64_t, dispatcher_grants> m_grants;
};

/// A place at a plain server that a dispatcher granted for one request. Its destructor returns it. Not thread safe.
class slot_lease
{
public:
    /// \p router is the dispatcher's router id, \p dispatcher its incarnation.
    slot_lease(std::weak_ptr<held_grants> grants, std::uint64_t router, std::uint64_t dispatcher, std::uint64_t grant);
    ~slot_lease();
    slot_lease(const slot_lease &) = delete;
    auto operator=(const slot_lease &) -> slot_lease & = delete;

    /// The server answered after \p latency.
    auto noteServed(duration latency) -> void;

    /// The server refused the request as it was full.
    auto noteServerFull() -> void;

private:
    std::weak_ptr<held_grants> m_grants;
    std::uint64_t m_router;
    slot_release m_release;
};

} // namespace marjoramloom
