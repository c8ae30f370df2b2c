#pragma once

#include "support/child_process.h"
#include "support/http_call.h"

#include <boost/json/object.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace marjoramloom::test {

/// A process that simulates an external system (see tests/standins).
class standin
{
public:
    /// Starts `marjoramloom_standins` with \p arguments and waits until it listens.
    standin(std::string name, std::vector<std::string> arguments, const std::string &logFile);

    [[nodiscard]] auto name() const -> const std::string &;
    [[nodiscard]] auto address() const -> const std::string &;
    [[nodiscard]] auto process() -> child_process &;

    /// Replaces the faults by a JSON list such as `[{"kind":"delay","ms":200}]`; `[]` clears them. Throws
    /// std::runtime_error if the list is invalid.
    auto setFaults(const std::string &list) -> void;

    /// The stand-in's execution record, in order.
    [[nodiscard]] auto record() const -> std::vector<boost::json::object>;

private:
    std::string m_name;
    child_process m_process;
    std::string m_address;
};

/// A router process and its files. Addresses have the form IP:port.
struct router_handle
{
    std::string name;
    std::string dataCentre;
    std::string callers; ///< Address of the listener for callers.
    std::string operators; ///< Address of the listener for operators.
    std::string peers; ///< Address of the listener for other routers.
    std::string settingsFile;
    std::string logFile;
    std::unique_ptr<child_process> process;
};

/// Size and settings of a fleet.
struct fleet_plan
{
    std::vector<std::string> dataCentres{ "north", "south" };
    int routersPerDataCentre = 1;
    int enginesPerDataCentre = 2;
    int orderServersPerDataCentre = 1;
    int slots = 4;
    double firstTokenMs = 5;
    double tokenMs = 1;
    int callMs = 0; ///< Duration of an order's call.
    std::string settings; ///< TOML that is appended to each router's settings file.
    std::string objects; ///< TOML that is appended to the initial configuration.
    /// Optional. Returns the address at which other routers connect to the peer listener at \p address, such as a
    /// relay.
    std::function<std::string(const std::string &address)> advertisedPeerAddress;
    std::vector<std::string> accounts{ "alpha", "beta", "gamma" };
};

/// Stand-ins and routers as processes on loopback, with an initial configuration that is active on all routers.
///
/// Services: model "chat" (profile "quick"), model "review" (profile "lengthy"), plain "stock" (repeatable) and plain
/// "orders" (not repeatable). Every account's key is "key-<account>". The destructor stops all processes, and
/// deletes their files unless MARJORAMLOOM_KEEP is set.
class fleet
{
public:
    explicit fleet(fleet_plan plan = {});
    ~fleet();
    fleet(const fleet &) = delete;
    auto operator=(const fleet &) -> fleet & = delete;

    [[nodiscard]] auto platform() -> standin &;
    [[nodiscard]] auto engines() -> std::vector<std::unique_ptr<standin>> &;
    [[nodiscard]] auto orderServers() -> std::vector<std::unique_ptr<standin>> &;
    [[nodiscard]] auto routers() -> std::vector<router_handle> &;

    /// Kills the router's process and starts a new one. With \p untilReady, waits until the router is ready.
    auto restart(router_handle &router, bool untilReady = true) -> void;

    /// Runs the command line tool against \p router and stores its output in \p output. Returns the exit code, -1 if it
    /// does not exit in time.
    auto command(const router_handle &router, std::vector<std::string> arguments, std::string *output = nullptr) -> int;

    /// Applies configuration objects in TOML by the command line tool through \p router. Returns its exit code.
    auto apply(const router_handle &router, const std::string &toml) -> int;

    /// Writes the platform's instance list with all routers, engines and order servers. Those named in \p leaving are
    /// listed as leaving, the others as live.
    auto publishInstances(const std::vector<std::string> &leaving = {}) -> void;

    /// Sends a completions request through \p router. "tokens=N" in the prompt sets the length of the answer.
    auto chat(const router_handle &router, const std::string &account, const std::string &prompt, bool stream = false,
              const std::string &model = "chat") -> http_answer;

    /// Sends a request to the plain service \p service through \p router.
    auto callService(const router_handle &router, const std::string &account, const std::string &service,
                     const std::string &path, const std::string &body, const std::string &idempotencyKey = {})
        -> http_answer;

    /// Sequence of the active configuration of \p router; -1 if the router does not answer.
    [[nodiscard]] auto configurationSequenceAt(const router_handle &router) -> std::int64_t;

    /// Value of the counter or gauge of \p router with this full name; 0 if it does not exist.
    [[nodiscard]] auto metric(const router_handle &router, const std::string &name) -> double;

    /// Path of the file \p name in the fleet's folder.
    [[nodiscard]] auto file(const std::string &name) const -> std::string;

private:
    auto startStandins() -> void;
    auto startRouters() -> void;
    auto initialObjects() const -> std::string;
    auto writeSettings(router_handle &router) -> void;
    auto start(router_handle &router) -> void;

    fleet_plan m_plan;
    std::string m_folder;
    std::unique_ptr<standin> m_platform;
    std::vector<std::unique_ptr<standin>> m_engines;
    std::vector<std::string> m_engineCentres; ///< Data centre of each engine.
    std::vector<std::unique_ptr<standin>> m_orderServers;
    /// Each is in the data centre of the order server with the same index.
    std::vector<std::unique_ptr<standin>> m_stockServers;
    std::vector<std::string> m_orderCentres; ///< Data centre of each order server.
    std::vector<router_handle> m_routers;
};

/// Polls \p condition every few milliseconds until it is true. Returns false after \p timeoutMs.
auto waitUntil(int timeoutMs, const std::function<bool()> &condition) -> bool;

/// Text of the answer that an engine stand-in generates for \p prompt.
auto expectedText(const std::string &prompt) -> std::string;

/// Text of a model's answer that was not streamed; empty if the body has none.
auto answerText(const http_answer &answer) -> std::string;

/// Loopback address with a port that is currently free. Each call of a process returns another port.
auto freeAddress() -> std::string;

/// Value of an environment variable that ctest sets. Throws std::runtime_error if it is not set.
auto fromEnvironment(const char *name) -> std::string;

/// Creates an empty folder for the files of one test and returns its path.
auto makeTestFolder() -> std::string;

} // namespace marjoramloom::test
