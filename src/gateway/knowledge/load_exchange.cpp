#include "marjoramloom/gateway/knowledge/load_exchange.h"

#include "datagram_codec.h"
#include "grant_reports.h"
#include "marjoramloom/core/endpoint.h"
#include "marjoramloom/core/hash.h"
#include "marjoramloom/core/log.h"
#include "places_exchange.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

constexpr std::uint32_t datagramVersion = 2;
/// Shortest time between two heartbeats to the same router.
constexpr auto heartbeatPeriod = std::chrono::milliseconds(200);
/// Shortest time between two messages with all block records to the same router.
constexpr auto blocksPeriod = std::chrono::milliseconds(100);
/// Datagrams that are read without returning to the event loop.
constexpr std::size_t maxDatagramsPerBatch = 64;
constexpr auto maxDatagramBytes = std::size_t(64) << 10U;

} // namespace

load_exchange::load_exchange(asio::any_io_executor executor, gateway_state &state, router_identity self,
                             std::uint64_t incarnation)
    : m_executor(executor)
    , m_state(state)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_socket(executor)
    , m_unreadableDatagrams(state.counters.at("marjoramloom_load_reports_unreadable_total"))
    , m_receivedDatagrams(state.counters.at("marjoramloom_datagrams_received_total"))
    , m_sentDatagrams(state.counters.at("marjoramloom_datagrams_sent_total"))
    , m_dispatch(
          executor, state,
          [this](std::uint64_t router, std::uint64_t number, const placement_query &query) {
              sendQuery(router, number, query);
          },
          [this](std::uint64_t router, const slot_release &release) { sendRelease(router, release); })
    , m_streams(
          executor, state,
          [this](std::uint64_t router, const stream_question &question) {
              auto datagram = wire::RouterDatagram();
              datagram.set_stream_question(question.stream);
              datagram.set_stream_service(question.service);
              send(router, datagram);
          },
          [this](std::uint64_t router, const std::vector<stream_version> &streams) {
              auto datagram = wire::RouterDatagram();
              for (const auto &stream : streams) {
                  auto *message = datagram.add_streams();
                  message->set_stream(stream.stream);
                  message->set_version(stream.version);
              }
              send(router, datagram);
          })
{
    m_state.blocks.setPublisher({ .onReport =
                                      [this](const crash_report &report) {
                                          auto datagram = wire::RouterDatagram();
                                          write(report, *datagram.mutable_crash());
                                          broadcast(datagram);
                                      },
                                  .onRecord =
                                      [this](const block_record &record) {
                                          auto datagram = wire::RouterDatagram();
                                          write(record, *datagram.add_blocks());
                                          broadcast(datagram);
                                      } });
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

auto load_exchange::setStoreHandlers(store_handlers handlers) -> void
{
    m_storeHandlers = std::move(handlers);
}

auto load_exchange::dispatch() -> placement_dispatch &
{
    return m_dispatch;
}

auto load_exchange::streams() -> stream_lookup &
{
    return m_streams;
}

auto load_exchange::handleStreams(std::uint64_t router, const wire::RouterDatagram &datagram) -> void
{
    if (datagram.stream_question() != 0) {
        m_streams.handleQuestion(router,
                                 { .stream = datagram.stream_question(), .service = datagram.stream_service() });
    }
    auto streams = std::vector<stream_version>();
    for (const auto &stream : datagram.streams()) {
        streams.push_back({ .stream = stream.stream(), .version = stream.version() });
    }
    m_streams.handleVersions(streams);
}

auto load_exchange::addRouter(router_identity identity) -> void
{
    auto why = last_reason();
    const auto endpoint = parseEndpoint(identity.address, why);
    if (!endpoint) {
        m_unreadableDatagrams.add();
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

auto load_exchange::announceStop() -> void
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

auto load_exchange::sendRelease(std::uint64_t router, const slot_release &release) -> void
{
    auto datagram = wire::RouterDatagram();
    write(release, *datagram.mutable_release());
    send(router, datagram);
}

auto load_exchange::sendStoreQuery(std::uint64_t router, const store_query &query) -> void
{
    auto datagram = wire::RouterDatagram();
    write(query, *datagram.mutable_question());
    send(router, datagram);
}

auto load_exchange::sendStoreUpdate(std::uint64_t router, const store_update &update) -> void
{
    auto datagram = wire::RouterDatagram();
    write(update, *datagram.mutable_news());
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
    datagram.set_blocks_digest(m_state.blocks.digest());
    datagram.set_has_blocks_digest(true);
    if (const auto &answered = m_state.storeContact.latest()) {
        write(*answered, boot_clock::now(), datagram);
    }
    m_sentDatagrams.add();
    auto error = boost::system::error_code();
    // An error counts as a lost datagram: the next report makes up for it, and queries time out.
    m_socket.send_to(asio::buffer(datagram.SerializeAsString()), endpoint->second, 0, error);
}

auto load_exchange::broadcast(wire::RouterDatagram &datagram) -> void
{
    for (const auto router : m_state.roster.others()) {
        send(router, datagram);
    }
}

auto load_exchange::receive() -> asio::awaitable<void>
{
    auto buffer = std::vector<char>(maxDatagramBytes);
    auto from = udp::endpoint();
    while (true) {
        auto error = boost::system::error_code();
        const auto bytes = co_await m_socket.async_receive_from(asio::buffer(buffer), from,
                                                                asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        // Other errors report that an earlier datagram was not delivered, for example by ICMP.
        if (error) {
            continue;
        }
        handleDatagram({ buffer.data(), bytes });
        // Drains the socket: a router that is behind would otherwise read the answers to its queries too late.
        for (auto received = std::size_t(1); received < maxDatagramsPerBatch; ++received) {
            const auto more = m_socket.receive_from(asio::buffer(buffer), from, 0, error);
            if (error) {
                break;
            }
            handleDatagram({ buffer.data(), more });
        }
    }
}

auto load_exchange::handleDatagram(std::string_view bytes) -> void
{
    auto datagram = wire::RouterDatagram();
    if (!datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))
        || datagram.version() != datagramVersion) {
        m_unreadableDatagrams.add();
        return;
    }
    const auto router = datagram.router();
    if (router == m_state.roster.self()) {
        return;
    }
    m_receivedDatagrams.add();
    if (datagram.has_identity() && !m_state.roster.knows(router)) {
        addRouter(readIdentity(datagram.identity()));
    }
    m_state.roster.noteMessageReceived(router);
    if (const auto answered = readStoreContact(datagram, boot_clock::now())) {
        m_state.storeContact.noteInterval(*answered);
    }
    applyPlaces(datagram, m_storeHandlers.onEvacuations, system_clock_source().now(), m_state);
    if (datagram.has_report()) {
        handleReport(router, datagram.sender(), datagram.report());
    }
    handleBlocks(router, datagram, system_clock_source().now());
    handleUses(datagram, system_clock_source().now());
    handleStreams(router, datagram);
    if (datagram.has_query()) {
        handleQuery(router, datagram.sender(), datagram.query());
    }
    if (datagram.has_answer()) {
        auto answer = readAnswer(datagram.answer());
        answer.router = router;
        m_dispatch.handleAnswer(datagram.sender(), answer);
    }
    if (datagram.has_release() && datagram.release().dispatcher() == m_incarnation) {
        m_dispatch.handleRelease(datagram.sender(), readRelease(datagram.release()));
    }
    if (datagram.has_question() && m_storeHandlers.onQuery) {
        m_storeHandlers.onQuery(router, readStoreQuery(datagram.question()));
    }
    if (datagram.has_news() && m_storeHandlers.onUpdate) {
        m_storeHandlers.onUpdate(readStoreUpdate(datagram.news()));
    }
}

auto load_exchange::handleReport(std::uint64_t router, std::uint64_t incarnation, const wire::LoadReport &report)
    -> void
{
    const auto now = system_clock_source().now();
    if (report.leaving()) {
        m_state.fleet.removeRouter(incarnation);
        m_state.slotGrants.removeRouter(incarnation);
        m_state.memoryGrants.removeRouter(incarnation);
        m_state.roster.noteStopping(router, now);
        return;
    }
    for (const auto server : report.leaving_servers()) {
        m_state.servers.noteLeaving(server, leaving_source::router, now);
    }
    auto snapshot = readReport(incarnation, report);
    subtractGrants(m_state, m_incarnation, report, snapshot, now);
    if (m_state.fleet.update(std::move(snapshot), now)) {
        for (const auto &placementHeard : report.heard()) {
            if (placementHeard.dispatcher() == m_incarnation) {
                m_state.placements.acknowledge(incarnation, placementHeard.sequence());
            }
        }
    }
    for (const auto &message : report.reads()) {
        const auto prefill = readPrefill(message);
        auto *load = prefill ? m_state.loads.find(prefill->server) : nullptr;
        if (load != nullptr) {
            load->prefixCache.recordPrefill(prefill->parts, prefill->unsharedTokens);
        }
    }
    if (!isFullMesh()) {
        sendHeartbeat(router, now);
    }
}

/// Takes over what another router knows of blocks that crash engines, and sends it this router's records if the two
/// have not quarantined the same blocks.
auto load_exchange::handleBlocks(std::uint64_t router, const wire::RouterDatagram &datagram, time_point now) -> void
{
    if (datagram.has_crash()) {
        m_state.blocks.handleReport(readCrashReport(datagram.crash()), now);
    }
    for (const auto &record : datagram.blocks()) {
        m_state.blocks.handleRecord(readBlockRecord(record), now);
    }
    if (datagram.has_blocks_digest() && datagram.blocks_digest() != m_state.blocks.digest()) {
        sendBlocks(router, now);
    }
}

auto load_exchange::sendBlocks(std::uint64_t router, time_point now) -> void
{
    auto &last = m_lastBlocksSent[router];
    if (now - last < blocksPeriod) {
        return;
    }
    last = now;
    auto datagram = wire::RouterDatagram();
    for (const auto &record : m_state.blocks.records()) {
        write(record, *datagram.add_blocks());
    }
    send(router, datagram);
}

/// Confirms to a router that reports here that this one is alive.
auto load_exchange::sendHeartbeat(std::uint64_t router, time_point now) -> void
{
    auto &last = m_lastHeartbeatSent[router];
    if (now - last >= heartbeatPeriod) {
        last = now;
        auto heartbeat = wire::RouterDatagram();
        writePlaces(m_state, now, heartbeat);
        send(router, heartbeat);
    }
}

auto load_exchange::handleQuery(std::uint64_t router, std::uint64_t incarnation, const wire::PlacementQuery &message)
    -> void
{
    auto query = readQuery(message);
    if (!query) {
        m_unreadableDatagrams.add();
        return;
    }
    auto trace = decision_trace();
    query->trace = message.dry_run() ? &trace : nullptr;
    const auto answer = m_dispatch.answer(incarnation, message.number(), *query);
    if (!answer) {
        return;
    }
    auto datagram = wire::RouterDatagram();
    write(*answer, *datagram.mutable_answer());
    send(router, datagram);
}

} // namespace marjoramloom
