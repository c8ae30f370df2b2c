#include "marjoramloom/router/settings.h"

#include "marjoramloom/core/endpoint.h"
#include "marjoramloom/core/toml_reader.h"

#include "platform/contracts.h"

#include <fstream>
#include <set>
#include <sstream>

namespace marjoramloom {

namespace {

constexpr std::int64_t hourMs = 3'600'000;
constexpr std::size_t sha256HexLength = 64;

constexpr std::array logLevelNames{
    enum_name<log_level>{ log_level::debug, "debug" },
    enum_name<log_level>{ log_level::info, "info" },
    enum_name<log_level>{ log_level::warning, "warning" },
    enum_name<log_level>{ log_level::error, "error" },
};

/// Reads all tables of a settings file into a settings object and collects the problems.
class settings_reader
{
public:
    settings_reader(const toml::table &root, std::string source)
        : m_root(root)
        , m_problems(std::move(source))
    {
    }

    auto read(last_reason &why) -> std::optional<settings>
    {
        readInstance();
        readListen();
        readOperators();
        readPeers();
        readPlatform();
        readLimits();
        readShare();
        readCalls();
        readGateway();
        readLog();
        rejectUnknownTables();
        if (!m_problems.empty()) {
            return why.fail(failure_kind::invalidInput, "check settings", "", m_problems.text());
        }
        return m_settings;
    }

private:
    auto table(const std::string &name) -> toml_reader
    {
        m_knownTables.insert(name);
        static const auto absent = toml::table();
        const auto *node = m_root.get(name);
        if (node && !node->is_table()) {
            m_problems.add(node->source().begin.line, name, "must be a table");
        }
        return { node && node->is_table() ? *node->as_table() : absent, name, m_problems };
    }

    static auto readEndpoint(toml_reader &reader, std::string_view key, std::string &field) -> void
    {
        reader.require(reader.text(key, field), key);
        auto why = last_reason();
        if (!field.empty() && !parseEndpoint(field, why)) {
            reader.reject(key, "must be IP:port");
        }
    }

    static auto readEndpoints(toml_reader &reader, std::string_view key, std::vector<std::string> &field) -> void
    {
        reader.texts(key, field);
        auto why = last_reason();
        for (const auto &address : field) {
            if (!parseEndpoint(address, why)) {
                reader.reject(key, "must list IP:port, not '" + address + "'");
            }
        }
    }

    auto readInstance() -> void
    {
        auto reader = table("instance");
        reader.require(reader.text("name", m_settings.instance), "name");
        reader.require(reader.text("data_centre", m_settings.dataCentre), "data_centre");
        m_settings.region = m_settings.dataCentre;
        reader.text("region", m_settings.region);
        reader.whole("threads", m_settings.threads, 1, 64);
        reader.finish();
    }

    auto readListen() -> void
    {
        auto reader = table("listen");
        readEndpoint(reader, "callers", m_settings.callersListen);
        readEndpoint(reader, "operators", m_settings.operatorsListen);
        readEndpoint(reader, "peers", m_settings.peersListen);
        const auto distinct = std::set{ m_settings.callersListen, m_settings.operatorsListen, m_settings.peersListen };
        if (distinct.size() < 3) {
            reader.reject("peers", "callers, operators and peers need three different addresses");
        }
        reader.finish();
    }

    auto readOperators() -> void
    {
        auto reader = table("operators");
        reader.require(reader.text("key_hash", m_settings.operatorKeyHash), "key_hash");
        const auto &hash = m_settings.operatorKeyHash;
        const auto isHexadecimal = hash.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (!hash.empty() && (hash.size() != sha256HexLength || !isHexadecimal)) {
            reader.reject("key_hash", "must be a SHA-256 hash: 64 lower-case hexadecimal digits");
        }
        reader.finish();
    }

    auto readPeers() -> void
    {
        auto reader = table("peers");
        if (reader.text("address", m_settings.peersAddress)) {
            readEndpoint(reader, "address", m_settings.peersAddress);
        }
        readEndpoints(reader, "seeds", m_settings.peers);
        reader.time("heartbeat_ms", m_settings.heartbeat, 50, 10'000);
        reader.time("timeout_ms", m_settings.peerTimeout, 200, 60'000);
        reader.time("digest_period_ms", m_settings.digestPeriod, 50, 10'000);
        if (m_settings.peerTimeout < 3 * m_settings.heartbeat) {
            reader.reject("timeout_ms", "must be at least three times heartbeat_ms");
        }
        reader.finish();
    }

    auto readPlatform() -> void
    {
        auto reader = table("platform");
        readEndpoints(reader, "addresses", m_settings.platform);
        if (m_settings.platform.empty()) {
            reader.reject("addresses", "must list at least one address");
        }
        reader.time("timeout_ms", m_settings.platformTimeout, 50, 60'000);
        reader.finish();
    }

    auto readLimits() -> void
    {
        auto reader = table("limits");
        reader.whole("body_bytes", m_settings.bodyLimitBytes, 1'024, 256 << 20);
        reader.time("header_timeout_ms", m_settings.headerTimeout, 100, hourMs);
        reader.time("idle_timeout_ms", m_settings.idleTimeout, 100, hourMs);
        reader.time("drain_ms", m_settings.drainLimit, 0, 24 * hourMs);
        reader.whole("queue", m_settings.queueLimit, 1, 10'000'000);
        reader.finish();
    }

    auto readShare() -> void
    {
        auto reader = table("share");
        reader.number("pull_threshold", m_settings.pullThreshold, 0, 1e9);
        reader.flag("suspend_long_work", m_settings.suspendLongWork);
        reader.finish();
    }

    auto readCalls() -> void
    {
        auto reader = table("calls");
        reader.number("hedge_budget", m_settings.hedgeBudget, 0, 1);
        reader.number("retry_budget", m_settings.retryBudget, 0, 1);
        reader.finish();
    }

    auto readGateway() -> void
    {
        auto reader = table("gateway");
        auto gateway = gateway_settings();
        auto graceSeconds = toSeconds(gateway.gracePeriod);
        auto windowSeconds = toSeconds(gateway.retryBudgetSettings.window);
        auto revocation = gateway.keyLifetime + gateway_settings::KEY_EXPIRY_MARGIN;
        reader.time("key_revocation_ms", revocation, 1'000, hourMs);
        gateway.keyLifetime = revocation - gateway_settings::KEY_EXPIRY_MARGIN;
        reader.number("grace_seconds", graceSeconds, 0.5, 3'600);
        reader.number("cores", gateway.cores, 0.01, 1'024);
        auto contracts = std::vector<std::string>();
        reader.texts("contracts", contracts);
        gateway.limitEngineMemory = platform::limitsEngineMemory(contracts);
        reader.whole("descriptors", gateway.maxFileDescriptors, 64, 1'000'000);
        reader.flag("shared_rotation", gateway.sharedRotation);
        reader.flag("fair_refusals", gateway.fairRefusals);
        reader.flag("tunnels", gateway.tunnels);
        reader.whole("memory_mb", gateway.memoryMegabytes, 32, 1'048'576);
        reader.number("repeat_ratio", gateway.retryBudgetSettings.ratio, 0, 1);
        reader.number("repeat_window_seconds", windowSeconds, 0.1, 3'600);
        reader.number("repeat_reserve", gateway.retryBudgetSettings.reserve, 0, 1e6);
        reader.time("evacuation_ms", gateway.evacuationLimit, 1'000, hourMs);
        reader.number("cold_overshoot", gateway.coldOvershoot, 0, 1e3);
        reader.number("cold_tolerance", gateway.coldTolerance, 0, 1e6);
        auto regions = std::vector<std::string>();
        reader.texts("regions", regions);
        for (const auto &entry : regions) {
            const auto separator = entry.find('=');
            if (separator == 0 || separator == std::string::npos || separator + 1 == entry.size()) {
                reader.reject("regions", "must be a list of data_centre=region");
                break;
            }
            gateway.regions[entry.substr(0, separator)] = entry.substr(separator + 1);
        }
        if (m_root.contains("gateway") && m_settings.threads != 1) {
            reader.reject("", "a gateway does all of its work on one thread: instance.threads must be 1");
        }
        reader.finish();
        gateway.gracePeriod = std::chrono::duration_cast<std::chrono::milliseconds>(fromSeconds(graceSeconds));
        gateway.retryBudgetSettings.window = fromSeconds(windowSeconds);
        if (m_root.contains("gateway")) {
            m_settings.gateway = gateway;
        }
    }

    auto readLog() -> void
    {
        auto reader = table("log");
        auto name = std::string("info");
        reader.text("level", name);
        const auto entry = std::find_if(logLevelNames.begin(), logLevelNames.end(),
                                        [&](const auto &candidate) { return candidate.name == name; });
        if (entry == logLevelNames.end()) {
            reader.reject("level", "must be debug, info, warning or error");
        } else {
            m_settings.logLevel = entry->value;
        }
        reader.finish();
    }

    auto rejectUnknownTables() -> void
    {
        for (const auto &[key, node] : m_root) {
            if (!m_knownTables.contains(std::string(key.str()))) {
                m_problems.add(node.source().begin.line, key.str(), "is not a known table");
            }
        }
    }

    const toml::table &m_root;
    toml_problems m_problems;
    std::set<std::string> m_knownTables;
    settings m_settings;
};

} // namespace

auto loadSettings(const std::string &path, last_reason &why) -> std::optional<settings>
{
    auto file = std::ifstream(path);
    if (!file) {
        return why.fail(failure_kind::notFound, "open settings", path, "the file cannot be read");
    }
    auto text = std::stringstream();
    text << file.rdbuf();
    auto read = parseSettings(text.str(), path, why);
    if (read) {
        read->source = path;
    }
    return read;
}

auto parseSettings(const std::string &text, const std::string &source, last_reason &why) -> std::optional<settings>
{
    try {
        const auto root = toml::parse(text, source);
        return settings_reader(root, source).read(why);
    } catch (const toml::parse_error &error) {
        auto problems = toml_problems(source);
        problems.add(error.source().begin.line, "", std::string(error.description()));
        return why.fail(failure_kind::invalidInput, "parse settings", "", problems.text());
    }
}

} // namespace marjoramloom
