#pragma once

#include "marjoramloom/router/router_view.h"
#include "marjoramloom/share/dispatcher.h"
#include "marjoramloom/share/server_placement.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

class share_ledger;

/// The dispatchers that this router holds, with the backend servers and limits that the configuration gives them.
///
/// Belongs to the decision strand; not thread safe.
class held_dispatchers
{
public:
    /// Precondition: \p ledger outlives the dispatchers.
    held_dispatchers(std::string dataCentre, dispatcher_settings limits, share_ledger &ledger);
    ~held_dispatchers();

    /// Takes over a new configuration.
    auto setView(std::shared_ptr<const router_view> view, time_point now) -> void;

    /// Holds the dispatchers of \p pools and no others: new ones start empty, others are dropped.
    auto hold(const std::vector<pool_id> &pools, time_point now) -> void;

    /// Whether a backend server takes new work; kept for dispatchers that are taken up later. The server's pool where
    /// its dispatcher is held.
    auto setServerState(object_id server, server_state state, time_point now) -> std::optional<pool_id>;

    /// The dispatcher of \p pool, or null where it is not held.
    [[nodiscard]] auto find(const pool_id &pool) const -> dispatcher *;

    /// The pool of a configured backend server, whoever dispatches it.
    [[nodiscard]] auto poolOf(object_id server) const -> std::optional<pool_id>;

    /// The pools of this data centre.
    [[nodiscard]] auto ownPools() const -> std::vector<pool_id>;

    [[nodiscard]] auto all() const -> const std::map<pool_id, std::unique_ptr<dispatcher>> &;

private:
    auto refreshServers(dispatcher &held, time_point now) -> void;
    [[nodiscard]] auto serversOf(const pool_id &pool) const -> std::vector<backend_server>;

    std::string m_dataCentre;
    dispatcher_settings m_limits;
    share_ledger &m_ledger;
    std::shared_ptr<const router_view> m_view;
    std::map<pool_id, std::unique_ptr<dispatcher>> m_held;
    std::unordered_map<object_id, server_state> m_serverStates;
};

} // namespace marjoramloom
