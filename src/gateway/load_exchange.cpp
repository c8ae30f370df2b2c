#include "marjoramloom/gateway/load_exchange.h"

#include "datagram_codec.h"
#include "marjoramloom/core/endpoint.h"
#include "marjoramloom/core/hash.h"
#include "marjoramloom/core/log.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

constexpr std::uint32_t datagramVersion = 2;
/// Up to this many routers, each tells all others its load.
constexpr std::size_t fullViewRouters = 12;
/// Time between two reports. Engines read about 50 tokens a millisecond, so this is a few prompts of staleness.
constexpr auto fullViewPeriod = std::chrono::milliseconds(60);
/// The same where only dispatchers get reports; these know what they placed themselves.
constexpr auto dispatchPeriod = std::chrono::milliseconds(120);
/// A report goes out at least this often, so that the others know that this router lives.
constexpr auto quietPeriod = std::chrono::milliseconds(240);
/// A report is answered by a heartbeat where none went to that router for this long.
constexpr auto heartbeatPeriod = std::chrono::milliseconds(200);
/// A dispatcher that fell silent is sent a report this often, to hear whether it is back.
constexpr auto probePeriod = std::chrono::milliseconds(1'000);
/// Silent dispatchers of a part that are looked after.
constexpr std::size_t probedDispatchers = 3;
/// Datagrams that are read in one go.
constexpr std::size_t receiveBatch = 64;
constexpr auto datagramBytes = std::size_t(64) << 10U;

} // namespace

load_exchange::load_exchange(asio::any_io_executor executor, gateway_state &state, router_identity self,
                             std::uint64_t incarnation)
    : m_executor(executor)
    , m_state(state)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_socket(executor)
    , m_unreadable(state.counters.at("marjoramloom_load_reports_unreadable_total"))
    , m_received(state.counters.at("marjoramloom_datagrams_received_total"))
    , m_sent(state.counters.at("marjoramloom_datagrams_sent_total"))
    , m_dispatch(executor, state, [this](std::uint64_t router, std::uint64_t number, const placement_query &query) {
        sendQuery(router, number, query);
    })
{
}

auto load_exchange::listen(const std::string &address, last_reason &why) -> bool
{
    const auto endpoint = parseEndpoint(address, why);
    if (!endpoint) {
        return false;
    }
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

auto load_exchange::setStoreListeners(store_listeners listening) -> void
{
    m_listening = std::move(listening);
}

auto load_exchange::dispatch() -> placement_dispatch &
{
    return m_dispatch;
}

auto load_exchange::meet(router_identity identity) -> void
{
    auto why = last_reason();
    const auto endpoint = parseEndpoint(identity.address, why);
    if (!endpoint) {
        m_unreadable.add();
        return;
    }
    const auto id = router_roster::idOf(identity.address);
    m_endpoints.insert_or_assign(id, udp::endpoint(endpoint->address(), endpoint->port()));
    const auto address = identity.address;
    if (m_state.roster.put(std::move(identity))) {
        log_line(log_level::info, "router_met").with("address", address).with("routers", m_state.roster.size());
        auto greeting = wire::RouterDatagram();
        write(m_self, *greeting.mutable_identity());
        send(id, greeting);
    }
}

auto load_exchange::hasFullView() const -> bool
{
    return m_state.roster.size() <= fullViewRouters;
}

auto load_exchange::sendReports() -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(m_executor);
    auto lastSent = time_point();
    auto wasBusy = false;
    while (true) {
        timer.expires_after(hasFullView() ? fullViewPeriod : dispatchPeriod);
        co_await timer.async_wait(asio::use_awaitable);
        const auto now = system_clock_source().now();
        const auto isBusy = m_state.running > 0 || !m_state.unreportedReads.empty();
        if (!isBusy && !wasBusy && now - lastSent < quietPeriod) {
            continue;
        }
        wasBusy = isBusy;
        lastSent = now;
        if (hasFullView()) {
            reportToAll(now);
        } else {
            reportToDispatchers(now);
        }
        m_state.unreportedReads.clear();
    }
}

auto load_exchange::report_scope::holds(const std::string &server) const -> bool
{
    return parts.empty()
        || std::any_of(parts.begin(), parts.end(), [&](const auto &part) { return part.holds(server); });
}

auto load_exchange::reportToAll(time_point now) -> void
{
    auto report = makeReport({});
    for (const auto router : m_state.roster.others()) {
        m_state.roster.noteAsked(router, now);
        send(router, report);
    }
}

/// Tells each dispatcher of the engines of its parts.
auto load_exchange::reportToDispatchers(time_point now) -> void
{
    if (!m_state.routes) {
        return;
    }
    auto scopes = std::unordered_map<std::uint64_t, report_scope>();
    for (const auto &service : m_state.routes->services()) {
        if (!service.engine) {
            continue;
        }
        const auto count = partCount(m_state.servers.usable(service.name).size());
        for (auto index = std::uint32_t(0); index < count; ++index) {
            const auto part = engine_part{ .index = index, .count = count };
            probeSilentDispatchers(service.name, part, now);
            const auto dispatcher = m_dispatch.dispatcherOf(service.name, index, now);
            if (dispatcher != m_state.roster.self()) {
                scopes[dispatcher].parts.push_back(part);
            }
        }
    }
    for (const auto &[dispatcher, scope] : scopes) {
        m_state.roster.noteAsked(dispatcher, now);
        auto report = makeReport(scope);
        send(dispatcher, report);
    }
}

auto load_exchange::probeSilentDispatchers(const std::string &service, const engine_part &part, time_point now) -> void
{
    const auto &order = m_state.roster.dispatchOrder(hash64(service), part.index);
    for (auto index = std::size_t(0); index < std::min(order.size(), probedDispatchers); ++index) {
        const auto router = order[index];
        if (m_state.roster.answers(router, now)) {
            break;
        }
        auto &last = m_lastProbe[router];
        if (now - last >= probePeriod) {
            last = now;
            auto report = makeReport({ .parts = { part } });
            send(router, report);
        }
    }
}

auto load_exchange::makeReport(const report_scope &scope) -> wire::RouterDatagram
{
    auto datagram = wire::RouterDatagram();
    write(m_self, *datagram.mutable_identity());
    auto &report = *datagram.mutable_report();
    report.set_sequence(++m_sequence);
    for (const auto &[run, load] : m_state.loads.all()) {
        if (load.running == 0) {
            continue;
        }
        const auto server = scope.parts.empty() ? nullptr : m_state.servers.findUsable(run);
        if (scope.parts.empty() || (server && scope.holds(server->id))) {
            auto *engine = report.add_engines();
            engine->set_server(run);
            engine->set_running(load.running);
            engine->set_unread_tokens(static_cast<std::uint32_t>(load.unreadTokens));
        }
    }
    for (const auto &share : m_state.accounts.ownShares(system_clock_source().now())) {
        auto *account = report.add_accounts();
        account->set_account(share.account);
        account->set_started_tokens(share.startedTokens);
    }
    if (scope.parts.empty()) {
        for (const auto &read : m_state.unreportedReads) {
            write(read, *report.add_reads());
        }
    }
    for (const auto &[dispatcher, sequence] : m_dispatch.heard()) {
        auto *heard = report.add_heard();
        heard->set_dispatcher(dispatcher);
        heard->set_sequence(sequence);
    }
    return datagram;
}

auto load_exchange::leave() -> void
{
    auto report = makeReport({});
    report.mutable_report()->set_leaving(true);
    for (const auto router : m_state.roster.others()) {
        send(router, report);
    }
}

auto load_exchange::sendQuery(std::uint64_t router, std::uint64_t number, const placement_query &query) -> void
{
    auto datagram = wire::RouterDatagram();
    write(query, *datagram.mutable_query());
    datagram.mutable_query()->set_number(number);
    send(router, datagram);
}

auto load_exchange::sendQuestion(std::uint64_t router, const store_question &question) -> void
{
    auto datagram = wire::RouterDatagram();
    datagram.mutable_question()->set_number(question.number);
    datagram.mutable_question()->set_servers_revision(question.serversRevision);
    send(router, datagram);
}

auto load_exchange::sendNews(std::uint64_t router, const store_news &news) -> void
{
    auto datagram = wire::RouterDatagram();
    write(news, *datagram.mutable_news());
    send(router, datagram);
}

auto load_exchange::send(std::uint64_t router, wire::RouterDatagram &datagram) -> void
{
    const auto endpoint = m_endpoints.find(router);
    if (endpoint == m_endpoints.end()) {
        return;
    }
    datagram.set_version(datagramVersion);
    datagram.set_sender(m_incarnation);
    datagram.set_router(m_state.roster.self());
    m_sent.add();
    auto error = boost::system::error_code();
    // A datagram that cannot be sent now is as good as a lost one.
    m_socket.send_to(asio::buffer(datagram.SerializeAsString()), endpoint->second, 0, error);
}

auto load_exchange::receive() -> asio::awaitable<void>
{
    auto buffer = std::vector<char>(datagramBytes);
    auto from = udp::endpoint();
    while (true) {
        auto error = boost::system::error_code();
        const auto bytes = co_await m_socket.async_receive_from(asio::buffer(buffer), from,
                                                                asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        // Other errors are news of earlier datagrams that did not arrive.
        if (error) {
            continue;
        }
        take({ buffer.data(), bytes });
        // What else has come is read at once: a router that is behind would find the answers to its queries too late.
        for (auto taken = std::size_t(1); taken < receiveBatch; ++taken) {
            const auto more = m_socket.receive_from(asio::buffer(buffer), from, 0, error);
            if (error) {
                break;
            }
            take({ buffer.data(), more });
        }
    }
}

auto load_exchange::take(std::string_view bytes) -> void
{
    auto datagram = wire::RouterDatagram();
    if (!datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))
        || datagram.version() != datagramVersion) {
        m_unreadable.add();
        return;
    }
    const auto router = datagram.router();
    if (router == m_state.roster.self()) {
        return;
    }
    m_received.add();
    if (datagram.has_identity() && !m_state.roster.knows(router)) {
        meet(readIdentity(datagram.identity()));
    }
    m_state.roster.noteHeard(router);
    if (datagram.has_report()) {
        takeReport(router, datagram.sender(), datagram.report());
    }
    if (datagram.has_query()) {
        takeQuery(router, datagram.sender(), datagram.query());
    }
    if (datagram.has_answer()) {
        m_dispatch.take(datagram.sender(), readAnswer(datagram.answer()));
    }
    if (datagram.has_question() && m_listening.onQuestion) {
        m_listening.onQuestion(
            router,
            { .number = datagram.question().number(), .serversRevision = datagram.question().servers_revision() });
    }
    if (datagram.has_news() && m_listening.onNews) {
        m_listening.onNews(readNews(datagram.news()));
    }
}

auto load_exchange::takeReport(std::uint64_t router, std::uint64_t incarnation, const wire::LoadReport &report) -> void
{
    const auto now = system_clock_source().now();
    if (report.leaving()) {
        m_state.fleet.drop(incarnation);
        m_state.roster.noteLeft(router, now);
        return;
    }
    if (m_state.fleet.take(readReport(incarnation, report), now)) {
        for (const auto &heard : report.heard()) {
            if (heard.dispatcher() == m_incarnation) {
                m_state.placements.settle(incarnation, heard.sequence());
            }
        }
    }
    for (const auto &message : report.reads()) {
        const auto read = readPrompt(message);
        auto *load = read ? m_state.loads.find(read->server) : nullptr;
        if (load != nullptr) {
            load->parts.noteRead(read->parts, read->ownTokens);
        }
    }
    if (!hasFullView()) {
        acknowledge(router, now);
    }
}

/// Shows a router that reports here that this one lives.
auto load_exchange::acknowledge(std::uint64_t router, time_point now) -> void
{
    auto &last = m_lastHeartbeat[router];
    if (now - last >= heartbeatPeriod) {
        last = now;
        auto heartbeat = wire::RouterDatagram();
        send(router, heartbeat);
    }
}

auto load_exchange::takeQuery(std::uint64_t router, std::uint64_t incarnation, const wire::PlacementQuery &message)
    -> void
{
    const auto query = readQuery(message);
    if (!query) {
        m_unreadable.add();
        return;
    }
    const auto answer = m_dispatch.answer(incarnation, message.number(), *query);
    if (!answer) {
        return;
    }
    auto datagram = wire::RouterDatagram();
    write(*answer, *datagram.mutable_answer());
    send(router, datagram);
}

} // namespace marjoramloom
