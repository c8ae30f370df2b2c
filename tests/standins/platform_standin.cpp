#include "platform_standin.h"

#include "common_faults.h"

#include <boost/algorithm/string.hpp>

namespace standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto maxValueBytes = std::size_t(1) << 20U;
/// Longest time that a watch request is kept open without events.
constexpr auto maxWait = std::chrono::milliseconds(30'000);
constexpr auto objectsPath = std::string_view("/v1/objects/");

/// The store keeps values that are nested deeper than its readers may expect.
auto valueOptions() -> json::parse_options
{
    constexpr auto maxDepth = std::size_t(20'000);
    auto options = json::parse_options();
    options.max_depth = maxDepth;
    options.allow_invalid_utf8 = true;
    return options;
}

auto toJson(const object_write &object) -> json::object
{
    auto error = boost::system::error_code();
    auto spec = json::parse(object.value, error, {}, valueOptions());
    const auto revision = object.revision;
    return json::object{
        { "metadata", json::object{ { "name", object.name }, { "revision", revision } } },
        { "spec", error ? json::value(nullptr) : std::move(spec) },
        { "status", nullptr },
    };
}

auto replyWith(http::status status, const json::object &body) -> http_reply
{
    auto answer = http_reply();
    answer.status = status;
    answer.body = json::serialize(body);
    return answer;
}

/// Parsed request of a write: the object's name, its new content, and the revision that it must currently have.
struct write_request
{
    std::string name;
    std::string value;
    std::optional<std::uint64_t> revision;
};

auto parseWrite(const std::string &body) -> write_request
{
    auto requested = write_request();
    auto error = boost::system::error_code();
    const auto parsed = json::parse(body, error, {}, valueOptions());
    const auto *object = error ? nullptr : parsed.if_object();
    if (object == nullptr) {
        return requested;
    }
    if (const auto *spec = object->if_contains("spec")) {
        requested.value = json::serialize(*spec);
    }
    const auto *metadata = object->if_contains("metadata");
    if (metadata != nullptr && metadata->is_object()) {
        if (const auto *name = metadata->get_object().if_contains("name")) {
            requested.name = json::value_to<std::string>(*name);
        }
        if (const auto *revision = metadata->get_object().if_contains("revision")) {
            requested.revision = revision->to_number<std::uint64_t>();
        }
    }
    return requested;
}

/// Splits a key of the form kind/name. The name may be empty.
auto splitKey(const std::string &key) -> std::pair<std::string, std::string>
{
    const auto slash = key.find('/');
    return { key.substr(0, slash), slash == std::string::npos ? std::string() : key.substr(slash + 1) };
}

} // namespace

platform_standin::platform_standin(asio::io_context &context, standin_context &shared, platform_standin_options options)
    : m_shared(shared)
    , m_options(options)
    , m_writeSignal(context, clock::time_point::max())
{
}

auto platform_standin::handle(http_exchange &exchange) -> void_awaitable
{
    stateEra(exchange);
    const auto isObject = exchange.path().starts_with(objectsPath);
    auto key = isObject ? exchange.path().substr(objectsPath.size()) : exchange.path();
    if (exchange.method() == "POST") {
        key += "/" + parseWrite(exchange.body()).name;
    }
    if (co_await applyRequestFaults(exchange, m_shared, key)) {
        co_return;
    }
    const auto [kind, name] = splitKey(key);
    if (!isObject) {
        const auto answer = replyWith(http::status::not_found, {});
        co_await exchange.reply(answer);
    } else if (exchange.method() == "GET" && !exchange.query("subscription").empty()) {
        co_await watch(exchange, kind);
    } else if (exchange.method() == "GET") {
        const auto isInstances = kind == "instances" && name.empty();
        const auto answer = isInstances ? listInstances()
                                        : (name.empty() ? readPage(exchange, kind) : readObject(exchange, kind, name));
        co_await exchange.reply(answer);
    } else {
        const auto entry = exchange.entry();
        const auto revision = exchange.query("revision");
        const auto execute = std::function<http_reply()>(
            [=, this, kind = kind, name = name] { return writeObject(entry, kind, name, revision); });
        co_await executeAndReply(exchange, m_shared, key, execute);
    }
}

auto platform_standin::readRevision(const fault_subject &subject) -> std::uint64_t
{
    const auto stale = m_shared.faults.take(fault_kind::staleReads, subject);
    if (!stale) {
        return m_log.revision();
    }
    return stale->revision != 0 ? stale->revision : m_log.revision() - std::min(m_log.revision(), stale->behind);
}

auto platform_standin::readObject(const http_exchange &exchange, const std::string &kind, const std::string &name)
    -> http_reply
{
    ++m_reads;
    const auto found = m_log.at(kind, name, readRevision(exchange.subject(kind + "/" + name)));
    return found.revision != 0 ? replyWith(http::status::ok, toJson(found)) : replyWith(http::status::not_found, {});
}

auto platform_standin::readPage(const http_exchange &exchange, const std::string &kind) -> http_reply
{
    ++m_reads;
    const auto revision = readRevision(exchange.subject(kind + "/"));
    const auto after = exchange.query("after");
    auto entries = json::array();
    auto truncated = false;
    for (const auto &object : m_log.listAt(kind, revision)) {
        if (object.name <= after) {
            continue;
        }
        truncated = entries.size() == m_options.pageSize;
        if (truncated) {
            break;
        }
        entries.push_back(toJson(object));
    }
    return replyWith(http::status::ok,
                     { { "entries", std::move(entries) }, { "truncated", truncated }, { "at", revision } });
}

auto platform_standin::writeObject(const execution_entry &entry, const std::string &kind, const std::string &name,
                                   const std::string &revisionInPath) -> http_reply
{
    ++m_writes;
    const auto current = m_log.at(kind, name, m_log.revision());
    const auto creates = entry.method == "POST";
    const auto deletes = entry.method == "DELETE";
    auto requested = parseWrite(entry.body);
    if (!revisionInPath.empty()) {
        requested.revision = std::strtoull(revisionInPath.c_str(), nullptr, 10);
    }
    if (name.empty() || (entry.method != "PUT" && !deletes && !creates)) {
        return replyWith(http::status::bad_request, {});
    }
    if (entry.body.size() > maxValueBytes) {
        return replyWith(http::status::payload_too_large, {});
    }
    if (!creates && current.revision == 0) {
        return replyWith(http::status::not_found, {});
    }
    if (creates ? current.revision != 0 : requested.revision.value_or(current.revision) != current.revision) {
        return replyWith(http::status::conflict, toJson(current));
    }
    auto write = object_write{ kind, name, 0, deletes ? std::string() : requested.value, deletes };
    const auto written = m_log.append(std::move(write));
    auto recorded = entry;
    recorded.state = "finished";
    m_shared.record.append(recorded);
    m_writeSignal.cancel();
    return replyWith(http::status::ok, toJson(written));
}

auto platform_standin::watch(http_exchange &exchange, const std::string &kind) -> void_awaitable
{
    const auto sinceText = exchange.query("subscription");
    const auto since = std::strtoull(sinceText.c_str(), nullptr, 10);
    if (since + m_options.watchHistory < m_log.revision() || since > m_log.revision()) {
        const auto answer = replyWith(http::status::gone, {});
        co_await exchange.reply(answer);
        co_return;
    }
    const auto waitText = exchange.query("wait_ms");
    const auto wait = std::chrono::milliseconds(std::strtoll(waitText.c_str(), nullptr, 10));
    const auto limit = clock::now() + std::min(wait, maxWait);
    ++m_watches;
    const auto era = m_era;
    auto events = eventsAfter(kind, since);
    while (events.empty() && clock::now() < limit && m_era == era) {
        co_await waitForWrite(limit);
        events = eventsAfter(kind, since);
    }
    --m_watches;
    if (m_era != era) {
        stateEra(exchange);
        const auto answer = replyWith(http::status::gone, {});
        co_await exchange.reply(answer);
        co_return;
    }
    const auto answer = replyWith(http::status::ok, { { "events", std::move(events) }, { "at", m_log.revision() } });
    co_await exchange.reply(answer);
}

auto platform_standin::eventsAfter(const std::string &kind, std::uint64_t since) const -> json::array
{
    auto events = json::array();
    for (const auto &write : m_log.after(since)) {
        if (write.kind == kind) {
            events.push_back(json::object{ { "deleted", write.deleted }, { "object", toJson(write) } });
        }
    }
    return events;
}

auto platform_standin::waitForWrite(clock::time_point limit) -> void_awaitable
{
    auto timer = asio::steady_timer(m_writeSignal.get_executor(), limit);
    timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            m_writeSignal.cancel();
        }
    });
    auto ignored = boost::system::error_code();
    auto token = asio::redirect_error(asio::use_awaitable, ignored);
    co_await m_writeSignal.async_wait(token);
}

auto platform_standin::listInstances() -> http_reply
{
    ++m_reads;
    const auto *lag = m_shared.faults.find(fault_kind::listLag);
    const auto shownAt = clock::now() - std::chrono::milliseconds(lag == nullptr ? 0 : lag->ms);
    auto listed = json::array();
    auto revision = std::uint64_t(0);
    for (const auto &version : m_instances) {
        ++revision;
        if (version.since <= shownAt) {
            listed = version.instances;
        }
    }
    auto entries = json::array();
    for (const auto &instance : listed) {
        const auto &name = instance.at("name").as_string();
        auto write = object_write{ "instances", std::string(name), revision, json::serialize(instance), false };
        entries.push_back(toJson(write));
    }
    return replyWith(http::status::ok,
                     { { "entries", std::move(entries) }, { "truncated", false }, { "at", revision } });
}

auto platform_standin::stateEra(http_exchange &exchange) const -> void
{
    if (m_options.statesEra) {
        exchange.setCommonHeader("Store-Era", std::to_string(m_era));
    }
}

auto platform_standin::restore(std::uint64_t revision) -> http_reply
{
    m_log.restore(revision);
    ++m_era;
    m_writeSignal.cancel();
    return replyWith(http::status::ok, {});
}

auto platform_standin::statistics() const -> http_reply
{
    auto body = json::object();
    body["revision"] = m_log.revision();
    body["reads"] = m_reads;
    body["writes"] = m_writes;
    body["watches"] = m_watches;
    return replyWith(http::status::ok, body);
}

auto platform_standin::control(http_exchange &exchange, const json::value &document) -> http_reply
{
    if (exchange.path() == "/control/statistics") {
        return statistics();
    }
    if (exchange.path() == "/control/restore") {
        return restore(document.at("revision").to_number<std::uint64_t>());
    }
    const auto *instances = document.as_object().if_contains("instances");
    if (exchange.path() != "/control/instances" || instances == nullptr || !instances->is_array()) {
        return replyWith(http::status::bad_request, {});
    }
    m_instances.push_back({ clock::now(), instances->as_array() });
    return replyWith(http::status::ok, {});
}

} // namespace standins
