#include "platform_standin.h"

#include "common_faults.h"

#include <boost/algorithm/string.hpp>

namespace standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto valueLimitBytes = std::size_t(1) << 20U;
constexpr auto bookmarkPeriod = std::chrono::seconds(1);
constexpr auto objectsPath = std::string_view("/v1/objects/");

auto toJson(const object_write &object) -> json::object
{
    auto written = json::object();
    written["kind"] = object.kind;
    written["name"] = object.name;
    written["revision"] = object.revision;
    written["value"] = object.value;
    return written;
}

auto replyWith(http::status status, const json::object &body) -> http_reply
{
    auto answer = http_reply();
    answer.status = status;
    answer.body = json::serialize(body);
    return answer;
}

auto eventLine(const object_write &write) -> std::string
{
    auto event = json::object();
    event["type"] = write.deleted ? "delete" : "put";
    event["object"] = toJson(write);
    return json::serialize(event) + "\n";
}

auto bookmarkLine(std::uint64_t revision) -> std::string
{
    auto event = json::object();
    event["type"] = "bookmark";
    event["revision"] = revision;
    return json::serialize(event) + "\n";
}

/// Splits kind/name; the name may be empty.
auto splitKey(const std::string &key) -> std::pair<std::string, std::string>
{
    const auto slash = key.find('/');
    return { key.substr(0, slash), slash == std::string::npos ? std::string() : key.substr(slash + 1) };
}

} // namespace

platform_standin::platform_standin(asio::io_context &context, standin_context &shared, platform_options options)
    : m_shared(shared)
    , m_options(options)
    , m_written(context, clock::time_point::max())
{
}

auto platform_standin::handle(http_exchange &exchange) -> nothing_awaitable
{
    const auto isObject = exchange.path().starts_with(objectsPath);
    const auto key = isObject ? exchange.path().substr(objectsPath.size()) : exchange.path();
    if (co_await appliesBefore(exchange, m_shared, key)) {
        co_return;
    }
    if (exchange.path() == "/v1/watch") {
        co_await watch(exchange);
    } else if (exchange.path() == "/v1/instances") {
        const auto answer = listInstances();
        co_await exchange.reply(answer);
    } else if (!isObject) {
        const auto answer = replyWith(http::status::not_found, {});
        co_await exchange.reply(answer);
    } else if (const auto [kind, name] = splitKey(key); exchange.method() == "GET") {
        const auto answer = readObjects(exchange, kind, name);
        co_await exchange.reply(answer);
    } else {
        const auto entry = exchange.entry();
        const auto ifMatch = exchange.header("If-Match");
        const auto ifNoneMatch = exchange.header("If-None-Match");
        const auto execute = std::function<http_reply()>(
            [=, this, kind = kind, name = name] { return writeObject(entry, kind, name, ifMatch, ifNoneMatch); });
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

auto platform_standin::readObjects(const http_exchange &exchange, const std::string &kind, const std::string &name)
    -> http_reply
{
    ++m_reads;
    const auto revision = readRevision(exchange.subject(kind + "/" + name));
    auto body = json::object();
    if (!name.empty()) {
        const auto found = m_log.at(kind, name, revision);
        if (found.revision != 0) {
            return replyWith(http::status::ok, toJson(found));
        }
        body["revision"] = 0;
        return replyWith(http::status::not_found, body);
    }
    auto objects = json::array();
    for (const auto &object : m_log.listAt(kind, revision)) {
        objects.push_back(toJson(object));
    }
    body["revision"] = revision;
    body["objects"] = std::move(objects);
    return replyWith(http::status::ok, body);
}

auto platform_standin::writeObject(const execution_entry &entry, const std::string &kind, const std::string &name,
                                   const std::string &ifMatch, const std::string &ifNoneMatch) -> http_reply
{
    ++m_writes;
    const auto current = m_log.at(kind, name, m_log.revision());
    const auto deletes = entry.method == "DELETE";
    if (name.empty() || (entry.method != "PUT" && !deletes) || (ifMatch.empty() && ifNoneMatch != "*")) {
        return replyWith(http::status::bad_request, {});
    }
    if (entry.body.size() > valueLimitBytes) {
        return replyWith(http::status::payload_too_large, {});
    }
    if (deletes && current.revision == 0) {
        return replyWith(http::status::not_found, toJson(current));
    }
    const auto expected = ifMatch.empty() ? std::string("0") : ifMatch;
    if (std::to_string(current.revision) != expected) {
        return replyWith(http::status::precondition_failed, toJson(current));
    }
    auto write = object_write{ kind, name, 0, deletes ? std::string() : entry.body, deletes };
    const auto written = m_log.append(std::move(write));
    auto recorded = entry;
    recorded.state = "finished";
    m_shared.record.append(recorded);
    m_written.cancel();
    return replyWith(http::status::ok, toJson(written));
}

auto platform_standin::watch(http_exchange &exchange) -> nothing_awaitable
{
    const auto sinceText = exchange.query("since");
    const auto since = std::strtoull(sinceText.c_str(), nullptr, 10);
    if (since + m_options.watchHistory < m_log.revision() || since > m_log.revision()) {
        const auto answer = replyWith(http::status::gone, {});
        co_await exchange.reply(answer);
        co_return;
    }
    auto kinds = std::vector<std::string>();
    const auto kindsText = exchange.query("kinds");
    boost::split(kinds, kindsText, boost::is_any_of(","));
    ++m_watches;
    try {
        co_await exchange.startStream("application/x-ndjson");
        co_await followWrites(exchange, kinds, since);
    } catch (const boost::system::system_error &) {
        // The watcher left.
    }
    --m_watches;
    exchange.close();
}

auto platform_standin::followWrites(http_exchange &exchange, const std::vector<std::string> &kinds, std::uint64_t since)
    -> nothing_awaitable
{
    auto nextBookmark = clock::now() + bookmarkPeriod;
    auto bookmark = asio::steady_timer(m_written.get_executor());
    for (;;) {
        for (const auto &write : m_log.after(since)) {
            since = write.revision;
            if (std::find(kinds.begin(), kinds.end(), write.kind) != kinds.end()) {
                const auto line = eventLine(write);
                co_await exchange.writePiece(line);
            }
        }
        if (clock::now() >= nextBookmark) {
            const auto line = bookmarkLine(since);
            co_await exchange.writePiece(line);
            nextBookmark += bookmarkPeriod;
        }
        bookmark.expires_at(nextBookmark);
        bookmark.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                m_written.cancel();
            }
        });
        auto ignored = boost::system::error_code();
        auto token = asio::redirect_error(asio::use_awaitable, ignored);
        co_await m_written.async_wait(token);
    }
}

auto platform_standin::listInstances() -> http_reply
{
    ++m_reads;
    const auto *lag = m_shared.faults.find(fault_kind::listLag);
    const auto shownAt = clock::now() - std::chrono::milliseconds(lag == nullptr ? 0 : lag->ms);
    auto body = json::object();
    body["revision"] = 0;
    body["instances"] = json::array();
    auto revision = std::uint64_t(0);
    for (const auto &version : m_instances) {
        ++revision;
        if (version.since <= shownAt) {
            body["revision"] = revision;
            body["instances"] = version.instances;
        }
    }
    return replyWith(http::status::ok, body);
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
    const auto *instances = document.as_object().if_contains("instances");
    if (exchange.path() != "/control/instances" || instances == nullptr || !instances->is_array()) {
        return replyWith(http::status::bad_request, {});
    }
    m_instances.push_back({ clock::now(), instances->as_array() });
    return replyWith(http::status::ok, {});
}

} // namespace standins
