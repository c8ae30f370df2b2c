#include "marjoramloom/call/load_watch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace marjoramloom {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto HTTP_VERSION = 11U;
constexpr auto MAX_REPORT_BYTES = std::size_t(4096);

} // namespace

load_watch::load_watch(asio::any_io_executor executor, load_watch_settings settings, callbacks handlers)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_callbacks(std::move(handlers))
    , m_timer(m_executor)
{
}

auto load_watch::setServers(const std::vector<watched_server> &servers) -> void
{
    auto next = std::map<object_id, watch_entry>();
    for (const auto &server : servers) {
        const auto known = m_servers.find(server.id);
        if (known != m_servers.end() && known->second.address == server.address) {
            next.insert(m_servers.extract(known));
        } else {
            next[server.id].address = server.address;
        }
    }
    m_servers = std::move(next);
}

auto load_watch::start() -> void
{
    asio::co_spawn(m_executor, run(shared_from_this()), asio::detached);
}

auto load_watch::stop() -> void
{
    m_stopped = true;
    m_timer.cancel();
    m_servers.clear();
}

auto load_watch::run(std::shared_ptr<load_watch> /*self*/) -> asio::awaitable<void>
{
    while (!m_stopped) {
        const auto now = std::chrono::steady_clock::now();
        const auto [id, entry] = nextServerToPoll(now);
        if (entry) {
            entry->polling = true;
            entry->nextPollAt = now + m_settings.period;
            asio::co_spawn(m_executor, poll(shared_from_this(), id, entry->address), asio::detached);
        }
        auto ignored = boost::system::error_code();
        m_timer.expires_after(m_settings.spacing);
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

auto load_watch::nextServerToPoll(time_point now) -> std::pair<object_id, watch_entry *>
{
    auto earliest = std::pair<object_id, watch_entry *>();
    for (auto &[id, entry] : m_servers) {
        const auto isEarlier = !earliest.second || entry.nextPollAt < earliest.second->nextPollAt;
        if (!entry.polling && entry.nextPollAt <= now && isEarlier) {
            earliest = { id, &entry };
        }
    }
    return earliest;
}

auto load_watch::poll(std::shared_ptr<load_watch> /*self*/, object_id id, std::string address) -> asio::awaitable<void>
{
    auto why = last_reason();
    const auto connection = co_await connectionFor(id, address, why);
    auto body = std::optional<std::string>();
    if (connection) {
        body = co_await requestReport(connection, why);
    }
    finishPoll(id, address, body, connection);
}

auto load_watch::connectionFor(object_id id, const std::string &address, last_reason &why)
    -> asio::awaitable<std::shared_ptr<http_connection>>
{
    auto &entry = m_servers[id];
    auto connection = std::exchange(entry.connection, nullptr);
    if (connection && connection->isIdleAndOpen()) {
        co_return connection;
    }
    connection = std::make_shared<http_connection>(m_executor, address);
    const auto opened = co_await connection->connect(m_settings.limit, why);
    co_return opened ? connection : nullptr;
}

auto load_watch::requestReport(std::shared_ptr<http_connection> connection, last_reason &why)
    -> asio::awaitable<std::optional<std::string>>
{
    auto request = http_connection::request(http::verb::get, "/v1/load", HTTP_VERSION);
    request.set(http::field::host, connection->peer());
    const auto sent = co_await connection->send(request, m_settings.limit, why);
    if (!sent) {
        co_return std::nullopt;
    }
    const auto answered = co_await connection->readHead(m_settings.limit, why);
    if (!answered) {
        co_return std::nullopt;
    }
    co_return co_await connection->readRest(MAX_REPORT_BYTES, m_settings.limit, why);
}

auto load_watch::finishPoll(object_id id, const std::string &address, const std::optional<std::string> &body,
                            std::shared_ptr<http_connection> connection) -> void
{
    const auto found = m_servers.find(id);
    if (m_stopped || found == m_servers.end() || found->second.address != address) {
        return;
    }
    auto &entry = found->second;
    entry.polling = false;
    if (!body) {
        ++entry.failures;
        m_callbacks.onPollFailed(id, entry.failures);
        return;
    }
    entry.failures = 0;
    auto why = last_reason();
    if (connection->header("X-Leaving") == "true") {
        m_callbacks.onLeaving(id);
    } else if (const auto report = parseLoadReport(id, *body, why)) {
        m_callbacks.onReport(*report);
    }
    if (connection->endedCleanly()) {
        entry.connection = std::move(connection);
    }
}

auto parseLoadReport(object_id server, const std::string &body, last_reason &why) -> std::optional<load_report>
{
    auto error = boost::system::error_code();
    const auto parsed = boost::json::parse(body, error);
    const auto numberAt = [&](const char *pointer) -> std::optional<std::uint32_t> {
        auto missing = boost::system::error_code();
        const auto *value = error ? nullptr : parsed.find_pointer(pointer, missing);
        const auto number = value ? value->to_number<std::uint32_t>(missing) : 0;
        return value && !missing ? std::optional(number) : std::nullopt;
    };
    const auto running = numberAt("/running");
    const auto waiting = numberAt("/waiting");
    const auto age = numberAt("/as_of_ms");
    if (!running || !age) {
        return why.fail(failure_kind::protocolViolation, "read load report", "", "running or as_of_ms is missing");
    }
    auto report = load_report();
    report.server = server;
    report.running = *running + waiting.value_or(0);
    report.age = std::chrono::milliseconds(*age);
    return report;
}

} // namespace marjoramloom
