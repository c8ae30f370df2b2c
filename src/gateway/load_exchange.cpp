#include "marjoramloom/gateway/load_exchange.h"

#include "load.pb.h"
#include "marjoramloom/core/endpoint.h"
#include "marjoramloom/core/log.h"
#include "marjoramloom/store/retry_backoff.h"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace marjoramloom {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::uint32_t reportVersion = 1;
/// Kind of the objects by which routers find each other.
constexpr std::string_view routerKind = "routers";
/// Time between two reports. Engines read about 50 tokens a millisecond, so this is a few prompts of staleness.
constexpr auto reportPeriod = std::chrono::milliseconds(60);
/// A report goes out at least this often, so that the others know that this router lives.
constexpr auto quietPeriod = std::chrono::milliseconds(240);
/// Reports are sent for this long to a router that was never heard of or fell silent.
constexpr auto peerMemory = std::chrono::minutes(5);
constexpr auto joinRetryFirst = std::chrono::milliseconds(200);
constexpr auto joinRetryLimit = std::chrono::milliseconds(3'000);
constexpr auto datagramBytes = std::size_t(64) << 10U;

} // namespace

load_exchange::load_exchange(asio::any_io_executor executor, store_client &client, gateway_state &state,
                             std::string instance, std::uint64_t incarnation)
    : m_executor(executor)
    , m_client(client)
    , m_state(state)
    , m_instance(std::move(instance))
    , m_incarnation(incarnation)
    , m_socket(executor)
    , m_unreadable(state.counters.at("marjoramloom_load_reports_unreadable_total"))
    , m_received(state.counters.at("marjoramloom_load_reports_received_total"))
{
}

auto load_exchange::listen(const std::string &address, last_reason &why) -> bool
{
    const auto endpoint = parseEndpoint(address, why);
    if (!endpoint) {
        return false;
    }
    m_address = address;
    auto error = boost::system::error_code();
    const auto local = udp::endpoint(endpoint->address(), endpoint->port());
    m_socket.open(local.protocol(), error);
    if (!error) {
        m_socket.bind(local, error);
    }
    if (!error) {
        m_socket.non_blocking(true, error);
    }
    if (error) {
        why.fail(failure_kind::unavailable, "listen", address, error.message());
    }
    return !error;
}

auto load_exchange::join() -> asio::awaitable<void>
{
    auto backoff = retry_backoff(joinRetryFirst, joinRetryLimit, m_incarnation);
    auto timer = asio::steady_timer(m_executor);
    // Written before the others are read: of two routers that start together, one finds the other at least.
    while (true) {
        auto why = last_reason();
        if (co_await announce(why) && co_await readRouters(why)) {
            break;
        }
        log_line(log_level::warning, "join_failed").with("reason", why.text());
        timer.expires_after(backoff.next());
        co_await timer.async_wait(asio::use_awaitable);
    }
    log_line(log_level::info, "joined").with("routers", m_peers.size());
}

auto load_exchange::announce(last_reason &why) -> asio::awaitable<bool>
{
    const auto value = json::serialize(json::object{ { "address", m_address } });
    auto outcome = co_await m_client.create(std::string(routerKind), m_instance, value, why);
    if (outcome.result == write_result::conflict && outcome.current.revision != 0 && outcome.current.value != value) {
        outcome = co_await m_client.update(std::string(routerKind), m_instance, value, outcome.current.revision, why);
    } else if (outcome.result == write_result::conflict && outcome.current.value == value) {
        co_return true;
    }
    co_return outcome.result == write_result::written;
}

auto load_exchange::readRouters(last_reason &why) -> asio::awaitable<bool>
{
    const auto listed = co_await m_client.list(std::string(routerKind), why);
    if (!listed) {
        co_return false;
    }
    const auto now = system_clock_source().now();
    for (const auto &object : listed->objects) {
        auto error = boost::system::error_code();
        const auto parsed = json::parse(object.value, error);
        const auto *address = error || !parsed.is_object() ? nullptr : parsed.get_object().if_contains("address");
        auto reason = last_reason();
        const auto endpoint = address != nullptr && address->is_string()
            ? parseEndpoint(std::string_view(address->get_string()), reason)
            : std::nullopt;
        if (!endpoint) {
            log_line(log_level::warning, "router_unreadable").with("name", object.name);
        } else if (object.name != m_instance) {
            m_peers.emplace(udp::endpoint(endpoint->address(), endpoint->port()), now);
        }
    }
    co_return true;
}

auto load_exchange::sendReports() -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(m_executor);
    auto lastSent = time_point();
    auto wasBusy = false;
    while (true) {
        timer.expires_after(reportPeriod);
        co_await timer.async_wait(asio::use_awaitable);
        const auto now = system_clock_source().now();
        const auto isBusy = m_state.running > 0 || !m_state.unreportedReads.empty();
        if (m_peers.empty() || (!isBusy && !wasBusy && now - lastSent < quietPeriod)) {
            continue;
        }
        wasBusy = isBusy;
        lastSent = now;
        std::erase_if(m_peers, [&](const auto &peer) { return now - peer.second > peerMemory; });
        sendToAll(makeReport(false));
    }
}

auto load_exchange::receiveReports() -> asio::awaitable<void>
{
    auto buffer = std::vector<char>(datagramBytes);
    auto from = udp::endpoint();
    auto error = boost::system::error_code();
    while (true) {
        const auto count = co_await m_socket.async_receive_from(asio::buffer(buffer), from,
                                                                asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        // Other errors are news of earlier datagrams that did not arrive.
        if (!error) {
            take({ buffer.data(), count }, from);
        }
    }
}

auto load_exchange::leave() -> void
{
    sendToAll(makeReport(true));
}

auto load_exchange::makeReport(bool leaving) -> std::string
{
    auto report = wire::LoadReport();
    report.set_version(reportVersion);
    report.set_sender(m_incarnation);
    report.set_sequence(++m_sequence);
    report.set_leaving(leaving);
    for (const auto &[run, load] : m_state.loads.all()) {
        if (load.running > 0) {
            auto *engine = report.add_engines();
            engine->set_server(run);
            engine->set_running(load.running);
            engine->set_unread_tokens(static_cast<std::uint32_t>(load.unreadTokens));
        }
    }
    for (const auto &share : m_state.accounts.ownShares(system_clock_source().now())) {
        auto *account = report.add_accounts();
        account->set_account(share.account);
        account->set_asked_tokens(share.askedTokens);
        account->set_started_tokens(share.startedTokens);
    }
    for (const auto &read : m_state.unreportedReads) {
        auto *prompt = report.add_reads();
        prompt->set_server(read.server);
        for (const auto &part : read.parts) {
            prompt->add_parts(part.id);
            prompt->add_part_tokens(part.tokens);
        }
        prompt->set_own_tokens(read.ownTokens);
    }
    m_state.unreportedReads.clear();
    return report.SerializeAsString();
}

auto load_exchange::sendToAll(const std::string &report) -> void
{
    auto error = boost::system::error_code();
    for (const auto &[peer, heardAt] : m_peers) {
        // A datagram that cannot be sent now is as good as a lost one: the next report makes up for it.
        m_socket.send_to(asio::buffer(report), peer, 0, error);
    }
}

auto load_exchange::take(std::string_view datagram, const udp::endpoint &from) -> void
{
    auto report = wire::LoadReport();
    if (!report.ParseFromArray(datagram.data(), static_cast<int>(datagram.size()))
        || report.version() != reportVersion) {
        m_unreadable.add();
        return;
    }
    if (report.sender() == m_incarnation) {
        return;
    }
    m_received.add();
    const auto now = system_clock_source().now();
    m_peers.insert_or_assign(from, now);
    if (report.leaving()) {
        m_state.fleet.drop(report.sender());
        return;
    }
    auto snapshot =
        load_snapshot{ .router = report.sender(), .sequence = report.sequence(), .engines = {}, .accounts = {} };
    for (const auto &engine : report.engines()) {
        snapshot.engines.push_back({ engine.server(), engine.running(), engine.unread_tokens() });
    }
    for (const auto &account : report.accounts()) {
        snapshot.accounts.push_back({ account.account(), account.asked_tokens(), account.started_tokens() });
    }
    m_state.fleet.take(std::move(snapshot), now);
    for (const auto &read : report.reads()) {
        auto *load = m_state.loads.find(read.server());
        if (load == nullptr || read.parts_size() != read.part_tokens_size()) {
            continue;
        }
        auto parts = std::vector<prompt_part>();
        for (auto index = 0; index < read.parts_size(); ++index) {
            parts.push_back({ read.parts(index), read.part_tokens(index) });
        }
        load->parts.noteRead(parts, read.own_tokens());
    }
}

} // namespace marjoramloom
