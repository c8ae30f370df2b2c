#pragma once

#include "marjoramloom/core/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// A router as it describes itself to the others.
struct router_identity
{
    std::string address; ///< IP:port at which the other routers reach it; a restart keeps it.
    std::string dataCentre;
    double cores = 1; ///< Share of a processor core that it may use.
};

/// The routers of the fleet, who of them answers, and who of them carries a duty.
///
/// Duties follow from the list alone: every router computes the same order for a duty and takes the first one that
/// answers. Routers may disagree for a while, so no duty may have to be held once. A router counts as silent when it
/// was sent something that it should have answered and did not within SILENCE_LIMIT. Not thread safe.
class router_roster
{
public:
    /// Several answers are missed before a router counts as silent.
    static constexpr duration SILENCE_LIMIT = std::chrono::milliseconds(700);
    /// Routers with less than this part of the largest one's processor come after all others for dispatching.
    static constexpr double LARGE_PART = 0.5;

    explicit router_roster(router_identity self);

    /// Number of the router at \p address; equal on every router.
    [[nodiscard]] static auto idOf(const std::string &address) -> std::uint64_t;

    [[nodiscard]] auto self() const -> std::uint64_t;
    [[nodiscard]] auto size() const -> std::size_t; ///< This router included.
    [[nodiscard]] auto knows(std::uint64_t id) const -> bool;
    [[nodiscard]] auto others() const -> std::vector<std::uint64_t>;

    /// A router described itself. True where it was not known yet.
    auto put(router_identity identity) -> bool;

    /// The router \p id was sent something that it answers.
    auto noteAsked(std::uint64_t id, time_point now) -> void;

    /// Something came from the router \p id.
    auto noteHeard(std::uint64_t id) -> void;

    /// The router \p id stops: it gets no duty until it is heard of again.
    auto noteLeft(std::uint64_t id, time_point now) -> void;

    [[nodiscard]] auto answers(std::uint64_t id, time_point now) const -> bool;

    /// The order in which routers dispatch for \p part of the service with the hash \p service: large routers first.
    /// Neighbouring parts begin with different routers. The reference is valid until the next put().
    auto dispatchOrder(std::uint64_t service, std::uint32_t part) -> const std::vector<std::uint64_t> &;

    /// The order in which the routers of this router's data centre watch the store for the others.
    auto watchOrder() -> const std::vector<std::uint64_t> &;

private:
    struct known_router
    {
        router_identity identity;
        std::optional<time_point> unansweredSince;
        bool left = false;
    };

    std::uint64_t m_self;
    std::unordered_map<std::uint64_t, known_router> m_routers;
    std::unordered_map<std::uint64_t, std::vector<std::uint64_t>> m_dispatchOrders; ///< By service and part.
    std::vector<std::uint64_t> m_watchOrder;
};

} // namespace marjoramloom
