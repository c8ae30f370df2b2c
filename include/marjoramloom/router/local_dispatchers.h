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

/// The dispatchers that run on this router. Passes the configuration's backend servers and queue limits to them.
///
/// Not thread safe; call on the decision strand.
class local_dispatchers
{
public:
    /// Precondition: \p ledger outlives the dispatchers.
    local_dispatchers(std::string dataCentre, dispatcher_settings limits, share_ledger &ledger);
    ~local_dispatchers();

    /// Applies a new configuration.
    auto setView(std::shared_ptr<const router_view> view, time_point now) -> void;

    /// Sets the pools that this router dispatches. Keeps existing dispatchers of \p pools, creates the missing ones
    /// without tickets, and destroys all others.
    auto setPools(const std::vector<pool_id> &pools, time_point now) -> void;

    /// Sets whether a backend server accepts new requests. The state is stored, so that it also reaches dispatchers
    /// that are created later. Returns the server's pool if its dispatcher runs on this router.
    auto setServerState(object_id server, server_state state, time_point now) -> std::optional<pool_id>;

    /// Returns the dispatcher of \p pool, or null if it does not run on this router.
    [[nodiscard]] auto find(const pool_id &pool) const -> dispatcher *;

    /// Returns the pool of a configured backend server, whichever router dispatches the pool.
    [[nodiscard]] auto poolOf(object_id server) const -> std::optional<pool_id>;

    /// Returns all pools of this data centre, whichever routers dispatch them.
    [[nodiscard]] auto dataCentrePools() const -> std::vector<pool_id>;

    [[nodiscard]] auto all() const -> const std::map<pool_id, std::unique_ptr<dispatcher>> &;

private:
    auto updateDispatcher(dispatcher &local, time_point now) -> void;
    [[nodiscard]] auto serversOf(const pool_id &pool) const -> std::vector<backend_server>;

    std::string m_dataCentre;
    dispatcher_settings m_limits;
    share_ledger &m_ledger;
    std::shared_ptr<const router_view> m_view;
    std::map<pool_id, std::unique_ptr<dispatcher>> m_dispatchers;
    std::unordered_map<object_id, server_state> m_serverStates;
};

} // namespace marjoramloom
