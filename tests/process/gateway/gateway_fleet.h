#pragma once

#include "support/fleet.h"

#include <boost/json.hpp>
#include <memory>
#include <string>
#include <vector>

namespace marjoramloom::test {

auto sleepMs(int milliseconds) -> void;

/// What a gateway_fleet consists of.
struct gateway_plan
{
    int routers = 2;
    int servers = 2; ///< Of each service.
    int callMs = 0;
    int eventMs = 5;
    int revocationMs = 5'000;
    double graceSeconds = 8;
};

/// Routers that take their routes from the platform's store, with stand-ins of the store and of backend servers.
///
/// Host "desk.example". Routes: "/read/" (repeatable, 2 servers), "/post/" (at most once), "/talk/" (stream that may be
/// resumed, 2 servers), "/once/" (stream that may not), "/open/" (repeatable, no key). Keys "key-alpha" and "key-beta".
class gateway_fleet
{
public:
    explicit gateway_fleet(gateway_plan plan = {});
    ~gateway_fleet();
    gateway_fleet(const gateway_fleet &) = delete;
    auto operator=(const gateway_fleet &) -> gateway_fleet & = delete;

    [[nodiscard]] auto store() -> standin &;
    [[nodiscard]] auto servers() -> std::vector<std::unique_ptr<standin>> &;
    [[nodiscard]] auto routers() -> std::vector<router_handle> &;

    /// Writes the configuration with the given keys of account alpha, under the next version.
    auto writeConfiguration(const std::vector<std::string> &alphaKeys) -> void;

    /// Writes the entry of a server anew.
    auto writeServer(std::size_t index, const std::string &state) -> void;

    /// Writes any object.
    auto writeObject(const std::string &kind, const std::string &name, const boost::json::value &spec) -> void;

    /// A request through \p router, with the id \p id.
    auto call(const router_handle &router, const std::string &path, const std::string &id,
              const std::string &method = "GET", const std::string &key = "key-alpha", const std::string &body = {})
        -> http_answer;

    /// Lines of the servers' records with that id and state.
    auto countRuns(const std::string &id, const std::string &state = "started") -> int;

    /// Whether the balancer would take the router for ready.
    auto isReady(const router_handle &router) -> bool;

    /// The log of a router up to now.
    auto logOf(const router_handle &router) -> std::string;

    auto start(router_handle &router) -> void;

private:
    auto writeSettings(const router_handle &router) -> void;

    gateway_plan m_plan;
    std::string m_folder;
    std::unique_ptr<standin> m_store;
    std::vector<std::unique_ptr<standin>> m_servers;
    std::vector<router_handle> m_routers;
    int m_version = 0;
};

} // namespace marjoramloom::test
