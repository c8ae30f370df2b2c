#include "support/gateway_fleet.h"

#include "marjoramloom/core/hash.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace marjoramloom::test {

namespace json = boost::json;

namespace {

constexpr auto host = "desk.example";
constexpr auto serviceName = "desk";
/// Declared slots of a backend server that does not limit its calls.
constexpr auto defaultSlots = 8;

constexpr auto timeoutMs = 5'000;

auto routeEntry(const std::string &prefix, const std::string &kind, int attempts, bool anonymous, bool resumable,
                int limitMs = timeoutMs) -> json::object
{
    return json::object{
        { "name", "route" + prefix },
        { "host", host },
        { "path_prefix", prefix },
        { "route_kind", kind },
        { "service", serviceName },
        { "timeout_ms", limitMs },
        { "slo_ms", 500 },
        { "max_attempts", attempts },
        { "anonymous", anonymous },
        { "resumable", resumable },
        { "sticky", kind == "streaming" },
        { "priority", 1 },
    };
}

/// Path of an object of the store; the name may hold any character.
auto objectPath(const std::string &kind, const std::string &name) -> std::string
{
    constexpr auto hexDigits = std::string_view("0123456789ABCDEF");
    auto path = "/v1/objects/" + kind + "/";
    for (const auto letter : name) {
        const auto byte = static_cast<unsigned char>(letter);
        path.append({ '%', hexDigits[byte >> 4U], hexDigits[byte & 0xFU] });
    }
    return path;
}

auto storeArguments(const gateway_plan &plan) -> std::vector<std::string>
{
    auto arguments = std::vector<std::string>{ "platform", "--page-size=" + std::to_string(plan.storePageSize) };
    if (!plan.storeStatesEra) {
        arguments.emplace_back("--hides-era");
    }
    return arguments;
}

} // namespace

auto sleepMs(int milliseconds) -> void
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

gateway_fleet::gateway_fleet(gateway_plan plan)
    : m_plan(plan)
    , m_folder(makeTestFolder())
    , m_store(std::make_unique<standin>("store", storeArguments(m_plan), m_folder + "/store.log"))
{
    writeConfiguration({ "key-alpha" });
    for (auto index = 0; index < m_plan.servers; ++index) {
        const auto name = "server-" + std::to_string(index);
        const auto arguments = std::vector<std::string>{ "routed",
                                                         "--name=" + name,
                                                         "--call-ms=" + std::to_string(m_plan.callMs),
                                                         "--call-slots=" + std::to_string(m_plan.callSlots),
                                                         "--queue=" + std::to_string(m_plan.callQueue),
                                                         "--event-ms=" + std::to_string(m_plan.eventMs) };
        m_servers.push_back(std::make_unique<standin>(name, arguments, m_folder + "/" + name + ".log"));
        writeServer(static_cast<std::size_t>(index), "ready");
    }
    for (auto index = 0; index < m_plan.routers; ++index) {
        auto router = router_handle();
        router.name = "router-" + std::to_string(index);
        router.callers = freeAddress();
        router.operators = freeAddress();
        router.peers = freeAddress();
        router.settingsFile = m_folder + "/" + router.name + ".toml";
        router.logFile = m_folder + "/" + router.name + ".log";
        writeSettings(router, index);
        start(router);
        m_routers.push_back(std::move(router));
    }
}

gateway_fleet::~gateway_fleet()
{
    m_routers.clear();
    m_servers.clear();
    m_store.reset();
    if (std::getenv("MARJORAMLOOM_KEEP") == nullptr) {
        auto error = std::error_code();
        std::filesystem::remove_all(m_folder, error);
    }
}

auto gateway_fleet::store() -> standin &
{
    return *m_store;
}

auto gateway_fleet::servers() -> std::vector<std::unique_ptr<standin>> &
{
    return m_servers;
}

auto gateway_fleet::routers() -> std::vector<router_handle> &
{
    return m_routers;
}

auto gateway_fleet::writeSettings(const router_handle &router, int number) -> void
{
    const auto store =
        m_plan.storeAddressForRouter ? m_plan.storeAddressForRouter(number, m_store->address()) : m_store->address();
    auto text = std::ofstream(router.settingsFile);
    text << "[instance]\nname = \"" << router.name << "\"\ndata_centre = \"north\"\nthreads = 1\n"
         << "[listen]\ncallers = \"" << router.callers << "\"\noperators = \"" << router.operators << "\"\npeers = \""
         << router.peers << "\"\n[operators]\nkey_hash = \"" << sha256Hex(OPERATORS_KEY) << "\"\n"
         << "[platform]\naddresses = [\"" << store << "\"]\ntimeout_ms = 1000\n"
         << "[gateway]\nkey_revocation_ms = " << m_plan.revocationMs << "\ngrace_seconds = " << m_plan.graceSeconds
         << "\nrepeat_reserve = " << m_plan.retryReserve << "\n"
         << m_plan.gatewaySettings;
    if (static_cast<std::size_t>(number) < m_plan.cores.size()) {
        text << "cores = " << m_plan.cores[static_cast<std::size_t>(number)] << "\n";
    }
    if (m_plan.sharesLoad) {
        text << "shared_rotation = true\nfair_refusals = true\n";
    }
    if (m_plan.memoryMb > 0) {
        text << "memory_mb = " << m_plan.memoryMb << "\n";
    }
    if (m_plan.descriptors > 0) {
        text << "descriptors = " << m_plan.descriptors << "\n";
    }
}

auto gateway_fleet::start(router_handle &router, bool untilReady) -> void
{
    const auto arguments =
        std::vector<std::string>{ fromEnvironment("MARJORAMLOOM"), "serve", "--settings", router.settingsFile };
    router.process = std::make_unique<child_process>(arguments, router.logFile, std::map<std::string, std::string>(),
                                                     child_output::logFile);
    constexpr auto startTimeoutMs = 15'000;
    if (untilReady && !waitUntil(startTimeoutMs, [&] { return isReady(router); })) {
        throw std::runtime_error(router.name + " is not ready: " + readLog(router));
    }
}

auto gateway_fleet::folder() const -> const std::string &
{
    return m_folder;
}

auto gateway_fleet::writeConfiguration(const std::vector<std::string> &alphaKeys) -> bool
{
    auto keys = json::array(alphaKeys.begin(), alphaKeys.end());
    const auto spec = json::object{
        { "version", ++m_version },
        { "routes",
          json::array{ routeEntry("/read/", "idempotent", 2, false, false),
                       routeEntry("/post/", "non_idempotent", 1, false, false, m_plan.onceTimeoutMs),
                       routeEntry("/talk/", "streaming", 2, false, true),
                       routeEntry("/once/", "streaming", 1, false, false, m_plan.onceTimeoutMs),
                       routeEntry("/open/", "idempotent", 2, true, false) } },
        { "services",
          json::array{ json::object{ { "name", serviceName },
                                     { "max_conns", 100 },
                                     { "cold_start_s", 3.0 },
                                     { "cold_per_s", m_plan.coldPerSecond },
                                     { "backend", json::object{ { "slots", 8 }, { "kv_capacity", 50'000 } } } } } },
        { "limits",
          json::object{ { "max_header_bytes", m_plan.headerBytes },
                        { "max_body_bytes", m_plan.bodyBytes },
                        { "header_timeout_ms", m_plan.headerTimeoutMs },
                        { "idle_timeout_ms", 5'000 } } },
        { "tenants",
          json::array{ json::object{ { "name", "alpha" }, { "api_keys", std::move(keys) } },
                       json::object{ { "name", "beta" }, { "api_keys", json::array{ "key-beta" } } } } },
    };
    if (!writeObject("config", "main", spec)) {
        return false;
    }
    m_configuration = spec;
    return true;
}

auto gateway_fleet::writeConfigurationAgain() -> bool
{
    return writeObject("config", "main", m_configuration);
}

auto gateway_fleet::writeServer(std::size_t index, const std::string &state, int incarnation, int coldMs) -> bool
{
    const auto &server = *m_servers[index];
    const auto spec = json::object{
        { "service", serviceName },
        { "address", m_plan.listedServerAddress ? m_plan.listedServerAddress(server.address()) : server.address() },
        { "zone", index < m_plan.serverZones.size() ? m_plan.serverZones[index] : "north" },
        { "version", index < m_plan.serverVersions.size() ? m_plan.serverVersions[index] : "v1" },
        { "slots", m_plan.callSlots > 0 ? m_plan.callSlots : defaultSlots },
        { "state", state },
        { "cold_left_ms", coldMs },
        { "sequence", ++m_entrySequence },
        { "born", 1'700'000'000'000 + index + static_cast<std::size_t>(incarnation) * 1'000 },
    };
    return writeObject("servers", server.name(), spec);
}

auto gateway_fleet::setServerVersion(std::size_t index, const std::string &version) -> void
{
    m_plan.serverVersions.resize(std::max(m_plan.serverVersions.size(), index + 1), "v1");
    m_plan.serverVersions[index] = version;
}

auto gateway_fleet::writeObject(const std::string &kind, const std::string &name, const json::value &spec) -> bool
{
    const auto body =
        json::serialize(json::object{ { "metadata", json::object{ { "name", name } } }, { "spec", spec } });
    const auto updated = httpCall(m_store->address(), { "PUT", objectPath(kind, name), {}, body });
    if (updated.status == 404) {
        return httpCall(m_store->address(), { "POST", "/v1/objects/" + kind, {}, body }).status < 300;
    }
    return updated.status >= 200 && updated.status < 300;
}

auto gateway_fleet::removeObject(const std::string &kind, const std::string &name) -> bool
{
    return httpCall(m_store->address(), { "DELETE", objectPath(kind, name), {}, {} }).status < 300;
}

auto gateway_fleet::storeStatistic(const std::string &name) -> std::uint64_t
{
    const auto answer = httpCall(m_store->address(), { "GET", "/control/statistics", {}, {} });
    return json::parse(answer.body).at(name).to_number<std::uint64_t>();
}

auto gateway_fleet::restoreStore(std::uint64_t revision) -> void
{
    const auto body = json::serialize(json::object{ { "revision", revision } });
    if (httpCall(m_store->address(), { "POST", "/control/restore", {}, body }).status != 200) {
        throw std::runtime_error("the store was not restored");
    }
}

auto gateway_fleet::call(const router_handle &router, const std::string &path, const std::string &id,
                         const std::string &method, const std::string &key, const std::string &body) -> http_answer
{
    auto request = http_request();
    request.method = method;
    request.target = path;
    request.headers = { { "Host", host }, { "X-Attempt-Id", id }, { "X-Deadline-Ms", "4000" } };
    if (!key.empty()) {
        request.headers["Authorization"] = "Bearer " + key;
    }
    request.body = body;
    return httpCall(router.callers, request);
}

auto gateway_fleet::countExecutions(const std::string &id, const std::string &state) -> int
{
    auto count = 0;
    for (const auto &server : m_servers) {
        for (const auto &entry : server->record()) {
            count += entry.at("request_id").as_string() == id && entry.at("state").as_string() == state ? 1 : 0;
        }
    }
    return count;
}

auto gateway_fleet::isReady(const router_handle &router) -> bool
{
    return httpCall(router.operators, { "GET", "/readyz", {}, "" }).status == 200;
}

auto gateway_fleet::readLog(const router_handle &router) -> std::string
{
    auto text = std::stringstream();
    text << std::ifstream(router.logFile).rdbuf();
    return text.str();
}

} // namespace marjoramloom::test
