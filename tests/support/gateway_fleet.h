#pragma once

#include "support/fleet.h"

#include <boost/json.hpp>
#include <memory>
#include <string>
#include <vector>

namespace marjoramloom::test {

auto sleepMs(int milliseconds) -> void;

/// Size and settings of a gateway_fleet.
struct gateway_plan
{
    int routers = 2;
    int servers = 2; ///< Number of backend servers; all belong to one service.
    int storePageSize = 500; ///< Objects in one page of a list of the store.
    bool storeStatesEra = true; ///< Answers of the store state its era.
    int callMs = 0; ///< Duration of a call that is not a stream.
    int callSlots = 0; ///< Calls that a backend server runs at once; 0 for no limit.
    int callQueue = 0; ///< Calls that may wait for a slot of a backend server; it refuses further ones.
    int eventMs = 5; ///< Time before each event of a stream.
    int revocationMs = 5'000; ///< Setting key_revocation_ms of the routers.
    double retryReserve = 2; ///< Setting repeat_reserve of the routers.
    bool sharesLoad = false; ///< Settings shared_rotation and fair_refusals of the routers.
    double graceSeconds = 8; ///< Setting grace_seconds of the routers.
    int headerBytes = 16'384; ///< Limit of a request's head in the configuration.
    std::string gatewaySettings; ///< Further lines of the routers' table `gateway`.
    double coldPerSecond = 0; ///< `cold_per_s` of the service.
    std::vector<std::string> serverZones; ///< Data centres of the backend servers; "north" for further ones.
    std::vector<std::string> serverVersions; ///< Software versions of the backend servers; "v1" for further ones.
    int bodyBytes = 100'000; ///< Limit of a request's body in the configuration.
    int headerTimeoutMs = 2'000; ///< Time limit of a request's head and body in the configuration.
    int onceTimeoutMs = 5'000; ///< Time limit of the routes "/post/" and "/once/"; it is 5,000 for the others.
    int memoryMb = 0; ///< Setting memory_mb of the routers; 0 if it is not set.
    int descriptors = 0; ///< Setting descriptors of the routers; 0 if it is not set.
    std::vector<double> cores; ///< Setting cores of each router; not set for further ones.
    /// Optional. Returns the address at which the router with this index connects to the store, which listens at
    /// \p address.
    std::function<std::string(int router, const std::string &address)> storeAddressForRouter;
    /// Optional. Returns the address that the store lists for the backend server that listens at \p address.
    std::function<std::string(const std::string &address)> listedServerAddress;
};

/// Gateway routers, which read their routes from the platform's store, with stand-ins of the store and of backend
/// servers.
///
/// Host "desk.example". Routes: "/read/" (idempotent, 2 attempts), "/post/" (not idempotent), "/talk/" (resumable
/// stream, 2 attempts), "/once/" (stream that is not resumable), "/open/" (idempotent, 2 attempts, no key). Keys
/// "key-alpha" and "key-beta".
class gateway_fleet
{
public:
    /// Key of the routers' operators' listeners.
    static constexpr auto OPERATORS_KEY = "operators-key";

    explicit gateway_fleet(gateway_plan plan = {});
    ~gateway_fleet();
    gateway_fleet(const gateway_fleet &) = delete;
    auto operator=(const gateway_fleet &) -> gateway_fleet & = delete;

    [[nodiscard]] auto store() -> standin &;
    [[nodiscard]] auto servers() -> std::vector<std::unique_ptr<standin>> &;
    [[nodiscard]] auto routers() -> std::vector<router_handle> &;

    /// Writes the configuration with these keys for account alpha, as the next version. Returns whether the store
    /// acknowledged it.
    auto writeConfiguration(const std::vector<std::string> &alphaKeys) -> bool;

    /// Writes the newest configuration again, with its version. Returns whether the store acknowledged it.
    auto writeConfigurationAgain() -> bool;

    /// Writes a backend server's entry in the store. Each \p incarnation of the server has another start time (`born`).
    /// The server states that it is cold for \p coldMs more. Returns whether the store acknowledged it.
    auto writeServer(std::size_t index, const std::string &state, int incarnation = 0, int coldMs = 0) -> bool;

    /// Sets the software version in entries of a backend server that are written from now on.
    auto setServerVersion(std::size_t index, const std::string &version) -> void;

    /// Creates or updates an object in the store. Returns whether the store acknowledged it.
    auto writeObject(const std::string &kind, const std::string &name, const boost::json::value &spec) -> bool;

    /// Removes an object from the store. Returns whether the store acknowledged it.
    auto removeObject(const std::string &kind, const std::string &name) -> bool;

    /// A number of the store's statistics: "revision", "reads", "writes" or "watches".
    auto storeStatistic(const std::string &name) -> std::uint64_t;

    /// Has the store continue from its copy of \p revision.
    auto restoreStore(std::uint64_t revision) -> void;

    /// Sends a request with the X-Attempt-Id \p id through \p router.
    auto call(const router_handle &router, const std::string &path, const std::string &id,
              const std::string &method = "GET", const std::string &key = "key-alpha", const std::string &body = {})
        -> http_answer;

    /// Number of entries with this request id and state in the execution records of all servers.
    auto countExecutions(const std::string &id, const std::string &state = "started") -> int;

    /// Whether the router's readiness check (/readyz) succeeds.
    auto isReady(const router_handle &router) -> bool;

    /// Current content of the router's log.
    auto readLog(const router_handle &router) -> std::string;

    /// Starts a router that is not running. With \p untilReady, waits until it is ready.
    auto start(router_handle &router, bool untilReady = true) -> void;

    /// Folder of the settings and logs.
    [[nodiscard]] auto folder() const -> const std::string &;

private:
    auto writeSettings(const router_handle &router, int number) -> void;

    gateway_plan m_plan;
    std::string m_folder;
    std::unique_ptr<standin> m_store;
    std::vector<std::unique_ptr<standin>> m_servers;
    std::vector<router_handle> m_routers;
    int m_version = 0;
    boost::json::value m_configuration; ///< As acknowledged last.
    std::int64_t m_entrySequence = 0;
};

} // namespace marjoramloom::test
