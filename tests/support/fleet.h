#pragma once

#include "support/child_process.h"
#include "support/http_call.h"

#include <boost/json/object.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace marjoramloom::test {

/// A stand-in of an outside system, as a process.
class standin
{
public:
    /// Starts `marjoramloom_standins` with \p arguments and waits until it listens.
    standin(std::string name, std::vector<std::string> arguments, const std::string &logFile);

    [[nodiscard]] auto name() const -> const std::string &;
    [[nodiscard]] auto address() const -> const std::string &;
    [[nodiscard]] auto process() -> child_process &;

    /// Replaces its faults: a JSON list such as `[{"kind":"delay","ms":200}]`; `[]` clears them.
    auto setFaults(const std::string &list) -> void;

    /// Everything that it executed, in order.
    [[nodiscard]] auto record() const -> std::vector<boost::json::object>;

private:
    std::string m_name;
    child_process m_process;
    std::string m_address;
};

/// A router as a process, with its addresses.
struct router_handle
{
    std::string name;
    std::string dataCentre;
    std::string callers;
    std::string operators;
    std::string peers;
    std::string settingsFile;
    std::string logFile;
    std::unique_ptr<child_process> process;
};

/// What a fleet consists of.
struct fleet_plan
{
    std::vector<std::string> dataCentres{ "north", "south" };
    int routersEach = 1;
    int enginesEach = 2;
    int orderServersEach = 1;
    int slots = 4;
    double firstTokenMs = 5;
    double tokenMs = 1;
    int callMs = 0;
    std::string settings; ///< Added to each router's settings file.
    std::string objects; ///< Added to the first configuration, as TOML.
    std::function<std::string(const std::string &address)>
        peerAddressSeen; ///< Where routers reach another one's peer port.
    std::vector<std::string> accounts{ "alpha", "beta", "gamma" };
};

/// Stand-ins and routers on loopback, with a first configuration in force everywhere.
///
/// Services: model "chat" (profile "quick"), model "review" (profile "lengthy"), plain "stock" (repeatable) and plain
/// "orders" (not repeatable). Every account's key is "key-<account>". Everything ends with this object.
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

    /// Starts the router again, with a new process; waits until it is ready where \p untilReady.
    auto restart(router_handle &router, bool untilReady = true) -> void;

    /// Runs the command line against \p router; its output goes to \p output. Returns the exit code.
    auto command(const router_handle &router, std::vector<std::string> arguments, std::string *output = nullptr) -> int;

    /// Applies configuration objects, given as TOML, through \p router. Returns the command's exit code.
    auto apply(const router_handle &router, const std::string &toml) -> int;

    /// Sets the platform's instance list: all routers and servers live, those named leaving.
    auto listInstances(const std::vector<std::string> &leaving = {}) -> void;

    /// A completions call through \p router. The prompt may ask for "tokens=N".
    auto chat(const router_handle &router, const std::string &account, const std::string &prompt, bool stream = false,
              const std::string &model = "chat") -> http_answer;

    /// A call to the plain service \p service.
    auto callService(const router_handle &router, const std::string &account, const std::string &service,
                     const std::string &path, const std::string &body, const std::string &idempotencyKey = {})
        -> http_answer;

    /// Sequence of the configuration at \p router; -1 where it does not answer.
    [[nodiscard]] auto sequenceAt(const router_handle &router) -> std::int64_t;

    /// A counter or gauge of \p router by its full name, 0 where absent.
    [[nodiscard]] auto metric(const router_handle &router, const std::string &name) -> double;

    /// A file of the fleet's own folder.
    [[nodiscard]] auto file(const std::string &name) const -> std::string;

private:
    auto startStandins() -> void;
    auto startRouters() -> void;
    auto firstObjects() const -> std::string;
    auto writeSettings(router_handle &router) -> void;
    auto start(router_handle &router) -> void;

    fleet_plan m_plan;
    std::string m_folder;
    std::unique_ptr<standin> m_platform;
    std::vector<std::unique_ptr<standin>> m_engines;
    std::vector<std::string> m_engineCentres;
    std::vector<std::unique_ptr<standin>> m_orderServers;
    std::vector<std::unique_ptr<standin>> m_stockServers; ///< Each in the data centre of the order server beside it.
    std::vector<std::string> m_orderCentres;
    std::vector<router_handle> m_routers;
};

/// Waits until \p condition holds, looking every few milliseconds. False after \p timeoutMs.
auto waitUntil(int timeoutMs, const std::function<bool()> &condition) -> bool;

/// The answer that an engine gives to \p prompt, as text.
auto expectedText(const std::string &prompt) -> std::string;

/// The text of a whole answer that was not streamed, empty where there is none.
auto answerText(const http_answer &answer) -> std::string;

/// A port of the loopback address that is free now.
auto freeAddress() -> std::string;

/// The value of an environment variable that ctest sets; throws where it is missing.
auto fromEnvironment(const char *name) -> std::string;

/// A new empty folder for the files of one test.
auto makeTestFolder() -> std::string;

} // namespace marjoramloom::test
