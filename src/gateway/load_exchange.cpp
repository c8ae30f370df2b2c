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

constexpr std::uint32_t datagramVersion = 1;
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

auto makeDatagram(std::uint64_t sender) -> wire::RouterDatagram
{
    auto datagram = wire::RouterDatagram();
    datagram.set_version(datagramVersion);
    datagram.set_sender(sender);
    return datagram;
}

/// Parts from two lists of equal length; nothing where the lengths differ.
template<typename Message>
auto readParts(const Message &message) -> std::optional<std::vector<prompt_part>>
{
    if (message.parts_size() != message.part_tokens_size()) {
        return std::nullopt;
    }
    auto parts = std::vector<prompt_part>();
    for (auto index = 0; index < message.parts_size(); ++index) {
        parts.push_back({ message.parts(index), message.part_tokens(index) });
    }
    return parts;
}

template<typename Message>
auto writeParts(const std::vector<prompt_part> &parts, Message &message) -> void
{
    for (const auto &part : parts) {
        message.add_parts(part.id);
        message.add_part_tokens(part.tokens);
    }
}

auto toMicroseconds(duration span) -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::microseconds>(span).count());
}

auto toAnswer(const wire::PlacementAnswer &message) -> placement_answer
{
    return { .number = message.number(),
             .sequence = message.sequence(),
             .server = message.server(),
             .tokensToRead = message.tokens_to_read(),
             .wait = std::chrono::microseconds(message.wait_us()),
             .firstEvent = std::chrono::microseconds(message.first_event_us()),
             .running = message.running(),
             .candidates = message.candidates() };
}

auto fill(const placement_answer &answer, wire::PlacementAnswer &message) -> void
{
    message.set_number(answer.number);
    message.set_sequence(answer.sequence);
    message.set_server(answer.server);
    message.set_tokens_to_read(answer.tokensToRead);
    message.set_wait_us(toMicroseconds(answer.wait));
    message.set_first_event_us(toMicroseconds(answer.firstEvent));
    message.set_running(answer.running);
    message.set_candidates(answer.candidates);
}

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
    , m_dispatch(executor, state, incarnation,
                 [this](std::uint64_t router, std::uint64_t number, const placement_query &query) {
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

auto load_exchange::dispatch() -> placement_dispatch &
{
    return m_dispatch;
}

auto load_exchange::makeReport(bool leaving) -> std::string
{
    auto datagram = makeDatagram(m_incarnation);
    auto &report = *datagram.mutable_report();
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
        account->set_started_tokens(share.startedTokens);
    }
    for (const auto &read : m_state.unreportedReads) {
        auto *prompt = report.add_reads();
        prompt->set_server(read.server);
        writeParts(read.parts, *prompt);
        prompt->set_own_tokens(read.ownTokens);
    }
    m_state.unreportedReads.clear();
    for (const auto &[dispatcher, sequence] : m_dispatch.heard()) {
        auto *heard = report.add_heard();
        heard->set_dispatcher(dispatcher);
        heard->set_sequence(sequence);
    }
    return datagram.SerializeAsString();
}

auto load_exchange::sendToAll(const std::string &datagram) -> void
{
    auto error = boost::system::error_code();
    for (const auto &[peer, heardAt] : m_peers) {
        // A datagram that cannot be sent now is as good as a lost one: the next report makes up for it.
        m_socket.send_to(asio::buffer(datagram), peer, 0, error);
    }
}

auto load_exchange::sendQuery(std::uint64_t router, std::uint64_t number, const placement_query &query) -> void
{
    const auto endpoint = m_endpoints.find(router);
    if (endpoint == m_endpoints.end()) {
        return;
    }
    auto datagram = makeDatagram(m_incarnation);
    auto &message = *datagram.mutable_query();
    message.set_number(number);
    message.set_service(query.service);
    writeParts(query.prompt.parts, message);
    message.set_prompt_tokens(query.prompt.promptTokens);
    message.set_account(query.account);
    message.set_cost_tokens(query.cost);
    message.set_objective_ms(
        static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(query.objective).count()));
    auto error = boost::system::error_code();
    m_socket.send_to(asio::buffer(datagram.SerializeAsString()), endpoint->second, 0, error);
}

auto load_exchange::take(std::string_view bytes, const udp::endpoint &from) -> void
{
    auto datagram = wire::RouterDatagram();
    if (!datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))
        || datagram.version() != datagramVersion) {
        m_unreadable.add();
        return;
    }
    if (datagram.sender() == m_incarnation) {
        return;
    }
    m_received.add();
    m_peers.insert_or_assign(from, system_clock_source().now());
    if (m_endpoints.insert_or_assign(datagram.sender(), from).second) {
        // A router that starts again keeps its address and takes another incarnation.
        std::erase_if(m_endpoints,
                      [&](const auto &known) { return known.second == from && known.first != datagram.sender(); });
    }
    if (datagram.has_report()) {
        takeReport(datagram.sender(), datagram.report());
    }
    if (datagram.has_query()) {
        takeQuery(datagram.sender(), datagram.query(), from);
    }
    if (datagram.has_answer()) {
        m_dispatch.take(datagram.sender(), toAnswer(datagram.answer()));
    }
}

auto load_exchange::takeReport(std::uint64_t sender, const wire::LoadReport &report) -> void
{
    if (report.leaving()) {
        m_state.fleet.drop(sender);
        m_endpoints.erase(sender);
        return;
    }
    auto snapshot = load_snapshot{ .router = sender, .sequence = report.sequence(), .engines = {}, .accounts = {} };
    for (const auto &engine : report.engines()) {
        snapshot.engines.push_back({ engine.server(), engine.running(), engine.unread_tokens() });
    }
    for (const auto &account : report.accounts()) {
        snapshot.accounts.push_back({ account.account(), account.started_tokens() });
    }
    if (m_state.fleet.take(std::move(snapshot), system_clock_source().now())) {
        for (const auto &heard : report.heard()) {
            if (heard.dispatcher() == m_incarnation) {
                m_state.placements.settle(sender, heard.sequence());
            }
        }
    }
    for (const auto &read : report.reads()) {
        auto *load = m_state.loads.find(read.server());
        const auto parts = readParts(read);
        if (load != nullptr && parts) {
            load->parts.noteRead(*parts, read.own_tokens());
        }
    }
}

auto load_exchange::takeQuery(std::uint64_t sender, const wire::PlacementQuery &query, const udp::endpoint &from)
    -> void
{
    auto parts = readParts(query);
    if (!parts) {
        m_unreadable.add();
        return;
    }
    auto asked = placement_query{ .service = query.service(), .prompt = {}, .account = query.account() };
    asked.prompt.parts = std::move(*parts);
    asked.prompt.promptTokens = query.prompt_tokens();
    asked.cost = query.cost_tokens();
    asked.objective = std::chrono::milliseconds(query.objective_ms());
    const auto answer = m_dispatch.answer(sender, query.number(), asked);
    if (!answer) {
        return;
    }
    auto datagram = makeDatagram(m_incarnation);
    fill(*answer, *datagram.mutable_answer());
    auto error = boost::system::error_code();
    m_socket.send_to(asio::buffer(datagram.SerializeAsString()), from, 0, error);
}

} // namespace marjoramloom
