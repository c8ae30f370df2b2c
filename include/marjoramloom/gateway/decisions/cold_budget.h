#pragma once

#include "marjoramloom/core/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <string_view>
#include <unordered_map>

namespace marjoramloom {

/// Limits the requests that this router sends to cold engines, so that no cold engine gets more than its bound from the
/// whole fleet.
///
/// It is made for engines that start or return together while all others are busy: each router with waiting requests
/// would otherwise fill them at once. The bound of an engine is divided into whole requests in a window of time, and
/// each belongs to one router, by an order of the routers that differs from engine to engine. The share of a router
/// depends only on which routers exist, neither on which of them answer nor on who dispatches, so the sum over all
/// routers holds also while some are cut off, suspended or restarted. A reservation counts until it is released or,
/// once its request was sent, until the window has passed. Not thread safe.
class cold_budget
{
public:
    /// Span in which the share of a router holds: the bound's second, and the differences in the time that requests
    /// take from the check to their engine.
    static constexpr duration WINDOW = std::chrono::milliseconds(1'100);
    /// A reservation that is older is not used any more: a connection takes at most 400 ms to open.
    static constexpr duration MAX_RESERVATION_AGE = std::chrono::milliseconds(500);
    /// Requests of the bound that are kept for a router that not all others know yet.
    static constexpr std::uint32_t RESERVED_REQUESTS = 1;
    /// A router that starts leaves cold engines alone for this long: until it is known to the others, and the requests
    /// that it sent before a restart are out of the window.
    static constexpr duration START_DELAY = std::chrono::milliseconds(4'000);

    /// Whole requests of all routers in a window to an engine that may get \p perSecond * \p overshoot + \p tolerance
    /// requests in any second.
    [[nodiscard]] static auto fleetLimit(double perSecond, double overshoot, double tolerance) -> std::uint32_t;

    /// How many of \p others come before the router \p self in the order for the engine named \p engine.
    [[nodiscard]] static auto rankOf(std::string_view engine, std::uint64_t self, std::span<const std::uint64_t> others)
        -> std::size_t;

    /// Of \p limit requests in a window, those of the router with \p rank among \p routers. Precondition: \p rank is
    /// less than \p routers.
    [[nodiscard]] static auto shareOf(std::uint32_t limit, std::size_t rank, std::size_t routers) -> std::uint32_t;

    /// Whether a request to the engine with the incarnation \p engine may be reserved, where this router's share of it
    /// is \p share.
    [[nodiscard]] auto hasRoom(std::uint64_t engine, std::uint32_t share, time_point now) -> bool;

    /// Reserves a request and returns its number. Precondition: hasRoom().
    auto reserve(std::uint64_t engine, time_point now) -> std::uint64_t;

    /// Records that the request of \p reservation is sent at \p now. Returns false if it must not be, as the
    /// reservation is too old; it is then released.
    [[nodiscard]] auto noteSent(std::uint64_t engine, std::uint64_t reservation, time_point now) -> bool;

    /// Gives the reservation back unless its request was sent.
    auto release(std::uint64_t engine, std::uint64_t reservation) -> void;

    /// Requests that count towards this router's share now.
    [[nodiscard]] auto used(std::uint64_t engine, time_point now) -> std::uint32_t;

    /// Forgets engines without a request in the window. Call every few hundred milliseconds.
    auto tick(time_point now) -> void;

private:
    struct engine_use
    {
        std::unordered_map<std::uint64_t, time_point> reserved; ///< Times of the reservations, by number.
        std::deque<time_point> sent;
    };

    static auto expire(engine_use &use, time_point now) -> void;

    std::unordered_map<std::uint64_t, engine_use> m_uses; ///< By the engine's incarnation.
    std::uint64_t m_lastReservation = 0;
};

} // namespace marjoramloom
