#pragma once

#include "marjoramloom/core/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// Address and capacity of a router, as it announces them to the others.
struct router_identity
{
    std::string address; ///< IP:port at which the other routers reach it; unchanged by a restart.
    std::string dataCentre;
    double cores = 1; ///< CPU cores that it may use; may be a fraction.
    std::string region = {}; ///< Of its data centre; empty if unknown.
};

/// The routers of the fleet, which of them are responsive, and the order in which they take on roles (dispatcher of an
/// engine shard, watcher of the store).
///
/// Roles follow from the list alone: every router computes the same order for a role and selects the first responsive
/// router. Routers may disagree for a while, so no role may depend on a single holder. A router counts as silent if it
/// did not answer a message that needs an answer within SILENCE_LIMIT. Not thread safe.
class router_roster
{
public:
    /// Long enough for several answers to be missing.
    static constexpr duration SILENCE_LIMIT = std::chrono::milliseconds(700);
    /// Routers with less than this fraction of the largest router's cores come last in the dispatch order.
    static constexpr double LARGE_ROUTER_FRACTION = 0.5;

    explicit router_roster(router_identity self);

    /// Id of the router at \p address: a hash, equal on every router.
    [[nodiscard]] static auto idOf(const std::string &address) -> std::uint64_t;

    [[nodiscard]] auto self() const -> std::uint64_t;
    [[nodiscard]] auto size() const -> std::size_t; ///< This router included.
    [[nodiscard]] auto runningRouters() const -> std::size_t; ///< Those that have not announced that they stop.
    [[nodiscard]] auto knows(std::uint64_t id) const -> bool;

    /// Whether most other known routers of the same data centre have less processor time than this one.
    [[nodiscard]] auto isLargerThanMost() const -> bool;

    /// Address of the router \p id; empty if it is not known. The reference is valid until the next put().
    [[nodiscard]] auto addressOf(std::uint64_t id) const -> const std::string &;

    [[nodiscard]] auto others() const -> std::vector<std::uint64_t>;

    /// Whether any known router is in \p dataCentre.
    [[nodiscard]] auto hasRouterIn(const std::string &dataCentre) const -> bool;

    /// The region of \p dataCentre, as a router there states it; empty if unknown. The reference is valid until the
    /// next change.
    [[nodiscard]] auto regionOf(const std::string &dataCentre) const -> const std::string &;

    /// Whether the routers were read from the store since this one started. Until then there may be any number of
    /// others.
    [[nodiscard]] auto isComplete() const -> bool;

    /// Records that the routers were read from the store.
    auto noteComplete() -> void;

    /// Adds or updates a router. Returns true if it was not known yet.
    auto put(router_identity identity) -> bool;

    /// Records that the router \p id was sent a message that it has to answer.
    auto noteRequestSent(std::uint64_t id, time_point now) -> void;

    /// Records that a message came from the router \p id.
    auto noteMessageReceived(std::uint64_t id) -> void;

    /// Records that the router \p id stops: it is not responsive until a message from it arrives.
    auto noteStopping(std::uint64_t id, time_point now) -> void;

    /// Whether the router \p id is known and neither silent nor stopping; always true for this router.
    [[nodiscard]] auto isResponsive(std::uint64_t id, time_point now) const -> bool;

    /// The routers in the order in which they become dispatcher of a shard of a service: large routers first.
    /// Neighbouring shards begin with different routers. The reference is valid until the next put().
    auto dispatchOrder(std::uint64_t serviceHash, std::uint32_t shard) -> const std::vector<std::uint64_t> &;

    /// The routers of this router's data centre in the order in which they become watchers of the store. The reference
    /// is valid until the next put().
    auto watchOrder() -> const std::vector<std::uint64_t> &;

private:
    struct known_router
    {
        router_identity identity;
        std::optional<time_point> unansweredSince;
        bool stopped = false;
    };

    std::uint64_t m_self;
    std::unordered_map<std::uint64_t, known_router> m_routers;
    /// By service hash plus shard index.
    std::unordered_map<std::uint64_t, std::vector<std::uint64_t>> m_dispatchOrders;
    std::vector<std::uint64_t> m_watchOrder;
    std::unordered_map<std::string, std::string> m_regions; ///< By data centre.
    std::size_t m_stoppedRouters = 0;
    bool m_isComplete = false;
};

} // namespace marjoramloom
