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
    /// Where a router (by its number) reaches the store, and all routers a server, that listens at the address given.
    std::function<std::string(int router, const std::string &address)> storeAddressSeen;
    std::function<std::string(const std::string &address)> serverAddressSeen;
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
    auto writeConfiguration(const std::vector<std::string> &alphaKeys) -> bool;

    /// Writes the entry of a server anew, as of its run number \p run.
    auto writeServer(std::size_t index, const std::string &state, int run = 0) -> void;

    /// Writes any object; false where the store did not acknowledge it.
    auto writeObject(const std::string &kind, const std::string &name, const boost::json::value &spec) -> bool;

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

    /// Starts a router that does not run, and waits until it is ready where \p untilReady.
    auto start(router_handle &router, bool untilReady = true) -> void;

    /// The folder of settings and logs.
    [[nodiscard]] auto folder() const -> const std::string &;

private:
    auto writeSettings(const router_handle &router, int number) -> void;

    gateway_plan m_plan;
    std::string m_folder;
    std::unique_ptr<standin> m_store;
    std::vector<std::unique_ptr<standin>> m_servers;
    std::vector<router_handle> m_routers;
    int m_version = 0;
};

} // namespace marjoramloom::test
