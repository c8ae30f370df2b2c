#include "support/fleet.h"

#include "marjoramloom/core/endpoint.h"
#include "marjoramloom/core/hash.h"
#include "standins/answer_text.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace marjoramloom::test {

namespace json = boost::json;

namespace {

constexpr auto operatorKey = "operator-key";
constexpr auto startTimeoutMs = 20'000;

auto writeFile(const std::string &path, const std::string &text) -> void
{
    std::ofstream(path) << text;
}

auto instanceEntry(const std::string &name, const std::string &dataCentre, const char *role, bool leaving,
                   const std::string &address) -> json::object
{
    return {
        { "name", name },       { "data_centre", dataCentre },
        { "role", role },       { "state", leaving ? "leaving" : "live" },
        { "address", address },
    };
}

auto serverObject(const std::string &name, const std::string &service, const std::string &dataCentre,
                  const std::string &address, int slots) -> std::string
{
    auto text = std::ostringstream();
    text << "[[backend_server]]\nname = \"" << name << "\"\nservice = \"" << service << "\"\ndata_centre = \""
         << dataCentre << "\"\naddress = \"" << address << "\"\nslots = " << slots << "\n";
    return text.str();
}

constexpr auto profilesAndServices = R"([[profile]]
name = "quick"
length = "short"
expected_tokens = 40
hedge = true
[[profile]]
name = "lengthy"
length = "long"
expected_tokens = 400
suspendable = true
max_wait_ms = 60000
[[profile]]
name = "order"
length = "short"
retries = 0
[[service]]
name = "chat"
kind = "model"
profile = "quick"
[[service]]
name = "review"
kind = "model"
profile = "lengthy"
[[service]]
name = "stock"
kind = "plain"
profile = "quick"
[[service]]
name = "orders"
kind = "plain"
profile = "order"
repeatable = false
)";

} // namespace

standin::standin(std::string name, std::vector<std::string> arguments, const std::string &logFile)
    : m_name(std::move(name))
    , m_process(
          [&] {
              arguments.insert(arguments.begin(), fromEnvironment("MARJORAMLOOM_STANDINS"));
              return arguments;
          }(),
          logFile)
{
    const auto line = m_process.readLine(startTimeoutMs);
    const auto prefix = std::string("listening ");
    if (!line || !line->starts_with(prefix)) {
        throw std::runtime_error("stand-in " + m_name + " did not start");
    }
    m_address = line->substr(prefix.size());
}

auto standin::name() const -> const std::string &
{
    return m_name;
}

auto standin::address() const -> const std::string &
{
    return m_address;
}

auto standin::process() -> child_process &
{
    return m_process;
}

auto standin::setFaults(const std::string &list) -> void
{
    const auto answer = httpCall(m_address, { "POST", "/control/faults", {}, "{\"faults\":" + list + "}" });
    if (answer.status != 200) {
        throw std::runtime_error("faults refused: " + answer.body + answer.error);
    }
}

auto standin::record() const -> std::vector<json::object>
{
    const auto answer = httpCall(m_address, { "GET", "/control/record", {}, "" });
    auto entries = std::vector<json::object>();
    auto lines = std::istringstream(answer.body);
    for (auto line = std::string(); std::getline(lines, line);) {
        entries.push_back(json::parse(line).as_object());
    }
    return entries;
}

fleet::fleet(fleet_plan plan)
    : m_plan(std::move(plan))
    , m_folder(makeTestFolder())
{
    startStandins();
    startRouters();
    publishInstances();
    if (apply(m_routers.front(), initialObjects()) != 0) {
        throw std::runtime_error("the first configuration was not accepted");
    }
    const auto ready = waitUntil(startTimeoutMs, [&] {
        for (const auto &router : m_routers) {
            if (configurationSequenceAt(router) < 1
                || httpCall(router.callers, { "GET", "/readyz", {}, "" }).status != 200) {
                return false;
            }
        }
        return true;
    });
    if (!ready) {
        throw std::runtime_error("the routers are not ready");
    }
}

fleet::~fleet()
{
    for (auto &router : m_routers) {
        router.process.reset();
    }
    m_engines.clear();
    m_orderServers.clear();
    m_stockServers.clear();
    m_platform.reset();
    if (!std::getenv("MARJORAMLOOM_KEEP")) {
        auto error = std::error_code();
        std::filesystem::remove_all(m_folder, error);
    }
}

auto fleet::startStandins() -> void
{
    m_platform = std::make_unique<standin>("platform", std::vector<std::string>{ "platform" }, file("platform.log"));
    for (const auto &dataCentre : m_plan.dataCentres) {
        for (auto index = 1; index <= m_plan.enginesPerDataCentre; ++index) {
            const auto name = dataCentre + "-engine-" + std::to_string(index);
            const auto arguments = std::vector<std::string>{
                "engine",
                "--name=" + name,
                "--data-centre=" + dataCentre,
                "--slots=" + std::to_string(m_plan.slots),
                "--first-token-ms=" + std::to_string(m_plan.firstTokenMs),
                "--token-ms=" + std::to_string(m_plan.tokenMs),
            };
            m_engines.push_back(std::make_unique<standin>(name, arguments, file(name + ".log")));
            m_engineCentres.push_back(dataCentre);
        }
        for (auto index = 1; index <= m_plan.orderServersPerDataCentre; ++index) {
            const auto name = dataCentre + "-orders-" + std::to_string(index);
            const auto arguments =
                std::vector<std::string>{ "service", "--name=" + name, "--call-ms=" + std::to_string(m_plan.callMs) };
            m_orderServers.push_back(std::make_unique<standin>(name, arguments, file(name + ".log")));
            m_orderCentres.push_back(dataCentre);
            const auto stock = dataCentre + "-stock-" + std::to_string(index);
            m_stockServers.push_back(std::make_unique<standin>(
                stock, std::vector<std::string>{ "service", "--name=" + stock }, file(stock + ".log")));
        }
    }
}

auto fleet::startRouters() -> void
{
    for (const auto &dataCentre : m_plan.dataCentres) {
        for (auto index = 1; index <= m_plan.routersPerDataCentre; ++index) {
            auto router = router_handle();
            router.name = dataCentre + "-" + std::to_string(index);
            router.dataCentre = dataCentre;
            router.callers = freeAddress();
            router.operators = freeAddress();
            router.peers = freeAddress();
            router.settingsFile = file(router.name + ".toml");
            router.logFile = file(router.name + ".log");
            m_routers.push_back(std::move(router));
        }
    }
    for (auto &router : m_routers) {
        writeSettings(router);
        start(router);
    }
}

auto fleet::writeSettings(router_handle &router) -> void
{
    auto text = std::ostringstream();
    text << "[instance]\nname = \"" << router.name << "\"\ndata_centre = \"" << router.dataCentre << "\"\n"
         << "[listen]\ncallers = \"" << router.callers << "\"\noperators = \"" << router.operators << "\"\npeers = \""
         << router.peers << "\"\n[operators]\nkey_hash = \"" << sha256Hex(operatorKey) << "\"\n"
         << "[platform]\naddresses = [\"" << m_platform->address() << "\"]\ntimeout_ms = 1000\n"
         << "[peers]\nheartbeat_ms = 200\ntimeout_ms = 1000\n";
    if (m_plan.advertisedPeerAddress) {
        text << "address = \"" << m_plan.advertisedPeerAddress(router.peers) << "\"\n";
    }
    text << "seeds = [";
    for (const auto &other : m_routers) {
        if (other.name != router.name) {
            text << "\"" << (m_plan.advertisedPeerAddress ? m_plan.advertisedPeerAddress(other.peers) : other.peers)
                 << "\", ";
        }
    }
    text << "]\n" << m_plan.settings;
    writeFile(router.settingsFile, text.str());
}

auto fleet::start(router_handle &router) -> void
{
    const auto arguments =
        std::vector<std::string>{ fromEnvironment("MARJORAMLOOM"), "serve", "--settings", router.settingsFile };
    router.process = std::make_unique<child_process>(arguments, router.logFile, std::map<std::string, std::string>(),
                                                     child_output::logFile);
    const auto answers = [&] {
        return httpCall(router.operators, { "GET", "/healthz", {}, "" }).status == 200;
    };
    if (!waitUntil(startTimeoutMs, answers)) {
        throw std::runtime_error("router " + router.name + " did not start; see " + router.logFile);
    }
}

auto fleet::restart(router_handle &router, bool untilReady) -> void
{
    router.process.reset();
    start(router);
    const auto ready = [&] {
        return httpCall(router.callers, { "GET", "/readyz", {}, "" }).status == 200;
    };
    if (untilReady && !waitUntil(startTimeoutMs, ready)) {
        throw std::runtime_error("router " + router.name + " is not ready");
    }
}

auto fleet::initialObjects() const -> std::string
{
    auto text = std::string(profilesAndServices);
    for (const auto &account : m_plan.accounts) {
        text +=
            "[[client_account]]\nname = \"" + account + "\"\nkey_hashes = [\"" + sha256Hex("key-" + account) + "\"]\n";
    }
    for (auto index = std::size_t(0); index < m_engines.size(); ++index) {
        const auto &engine = *m_engines[index];
        const auto service = index % 2 == 1 && m_plan.enginesPerDataCentre > 1 ? "review" : "chat";
        text += serverObject(engine.name(), service, m_engineCentres[index], engine.address(), m_plan.slots);
    }
    for (auto index = std::size_t(0); index < m_orderServers.size(); ++index) {
        const auto &server = *m_orderServers[index];
        text += serverObject(server.name(), "orders", m_orderCentres[index], server.address(), m_plan.slots);
        const auto &stock = *m_stockServers[index];
        text += serverObject(stock.name(), "stock", m_orderCentres[index], stock.address(), m_plan.slots);
    }
    return text + m_plan.objects;
}

auto fleet::command(const router_handle &router, std::vector<std::string> arguments, std::string *output) -> int
{
    arguments.insert(arguments.begin(), fromEnvironment("MARJORAMLOOM"));
    const auto environment = std::map<std::string, std::string>{ { "MARJORAMLOOM_ROUTER", router.operators },
                                                                 { "MARJORAMLOOM_KEY", operatorKey } };
    auto process = child_process(arguments, file("commands.log"), environment);
    const auto text = process.readAll();
    if (output) {
        *output = text;
    }
    return process.waitForExit(startTimeoutMs).value_or(-1);
}

auto fleet::apply(const router_handle &router, const std::string &toml) -> int
{
    static auto fileCount = std::atomic<int>(0);
    const auto path = file("objects-" + std::to_string(++fileCount) + ".toml");
    writeFile(path, toml);
    return command(router, { "apply", path });
}

auto fleet::publishInstances(const std::vector<std::string> &leaving) -> void
{
    const auto isLeaving = [&](const std::string &name) {
        return std::find(leaving.begin(), leaving.end(), name) != leaving.end();
    };
    auto instances = json::array();
    for (const auto &router : m_routers) {
        const auto address = m_plan.advertisedPeerAddress ? m_plan.advertisedPeerAddress(router.peers) : router.peers;
        instances.push_back(instanceEntry(router.name, router.dataCentre, "router", isLeaving(router.name), address));
    }
    for (auto index = std::size_t(0); index < m_engines.size(); ++index) {
        const auto &name = m_engines[index]->name();
        instances.push_back(instanceEntry(name, m_engineCentres[index], "backend_server", isLeaving(name),
                                          m_engines[index]->address()));
    }
    for (auto index = std::size_t(0); index < m_orderServers.size(); ++index) {
        const auto &name = m_orderServers[index]->name();
        instances.push_back(instanceEntry(name, m_orderCentres[index], "backend_server", isLeaving(name),
                                          m_orderServers[index]->address()));
    }
    const auto body = json::serialize(json::object{ { "instances", std::move(instances) } });
    httpCall(m_platform->address(), { "POST", "/control/instances", {}, body });
}

auto fleet::chat(const router_handle &router, const std::string &account, const std::string &prompt, bool stream,
                 const std::string &model) -> http_answer
{
    const auto message = json::object{ { "role", "user" }, { "content", prompt } };
    const auto body = json::object{ { "model", model }, { "messages", json::array{ message } }, { "stream", stream } };
    auto request = http_request();
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers = { { "Authorization", "Bearer key-" + account }, { "Content-Type", "application/json" } };
    request.body = json::serialize(body);
    request.timeout = std::chrono::seconds(60);
    return httpCall(router.callers, request);
}

auto fleet::callService(const router_handle &router, const std::string &account, const std::string &service,
                        const std::string &path, const std::string &body, const std::string &idempotencyKey)
    -> http_answer
{
    auto request = http_request();
    request.method = "POST";
    request.target = "/services/" + service + path;
    request.headers = { { "Authorization", "Bearer key-" + account }, { "Content-Type", "application/json" } };
    if (!idempotencyKey.empty()) {
        request.headers["Idempotency-Key"] = idempotencyKey;
    }
    request.body = body;
    return httpCall(router.callers, request);
}

auto fleet::configurationSequenceAt(const router_handle &router) -> std::int64_t
{
    auto request = http_request();
    request.target = "/v1/status";
    request.headers = { { "Authorization", std::string("Bearer ") + operatorKey } };
    request.timeout = std::chrono::seconds(2);
    const auto answer = httpCall(router.operators, request);
    auto error = boost::system::error_code();
    const auto status = json::parse(answer.body, error);
    if (answer.status != 200 || error) {
        return -1;
    }
    return status.at("sequence").to_number<std::int64_t>();
}

auto fleet::metric(const router_handle &router, const std::string &name) -> double
{
    const auto answer = httpCall(router.operators, { "GET", "/metrics", {}, "" });
    auto lines = std::istringstream(answer.body);
    for (auto line = std::string(); std::getline(lines, line);) {
        if (line.starts_with(name + " ")) {
            return std::stod(line.substr(name.size() + 1));
        }
    }
    return 0;
}

auto fleet::platform() -> standin &
{
    return *m_platform;
}

auto fleet::engines() -> std::vector<std::unique_ptr<standin>> &
{
    return m_engines;
}

auto fleet::orderServers() -> std::vector<std::unique_ptr<standin>> &
{
    return m_orderServers;
}

auto fleet::routers() -> std::vector<router_handle> &
{
    return m_routers;
}

auto fleet::file(const std::string &name) const -> std::string
{
    return m_folder + "/" + name;
}

auto waitUntil(int timeoutMs, const std::function<bool()> &condition) -> bool
{
    constexpr auto poll = std::chrono::milliseconds(10);
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(poll);
    }
    return true;
}

auto expectedText(const std::string &prompt) -> std::string
{
    return standins::completeAnswer({ { "user", prompt } }).text();
}

auto answerText(const http_answer &answer) -> std::string
{
    auto error = boost::system::error_code();
    const auto body = json::parse(answer.body, error);
    const auto *content = error ? nullptr : body.find_pointer("/choices/0/message/content", error);
    return content && content->is_string() ? std::string(content->as_string()) : std::string();
}

auto freeAddress() -> std::string
{
    // The range lies below the system's ephemeral ports, because an outgoing connection could take such a port before
    // the router listens on it.
    constexpr auto firstPort = 10'000;
    constexpr auto portCount = 20'000;
    constexpr auto stride = 97;
    static auto nextPortOffset = std::atomic<int>(getpid() * stride % portCount);
    auto context = boost::asio::io_context();
    while (true) {
        const auto port = firstPort + nextPortOffset++ % portCount;
        const auto candidate =
            boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port));
        auto acceptor = boost::asio::ip::tcp::acceptor(context, candidate.protocol());
        auto error = boost::system::error_code();
        acceptor.bind(candidate, error);
        if (!error) {
            return endpointText(candidate);
        }
    }
}

auto fromEnvironment(const char *name) -> std::string
{
    const auto *value = std::getenv(name);
    if (!value) {
        throw std::runtime_error(std::string(name) + " is not set; run the test through ctest");
    }
    return value;
}

auto makeTestFolder() -> std::string
{
    static auto folderCount = std::atomic<int>(0);
    const auto name = "marjoramloom-test-" + std::to_string(getpid()) + "-" + std::to_string(++folderCount);
    const auto folder = std::filesystem::temp_directory_path() / name;
    std::filesystem::create_directories(folder);
    return folder.string();
}

} // namespace marjoramloom::test
