// Measures the marginal costs in docs/CAPACITY.md: the bytes, processor time and memory that each further heartbeat,
// ticket, digest entry, member, account or engine takes.

#include "../tests/unit/peer/fake_peer.h"
#include "allocation_count.h"
#include "marjoramloom/contract/configuration_codec.h"
#include "marjoramloom/contract/configuration_store.h"
#include "marjoramloom/peer/configuration_relay.h"
#include "marjoramloom/peer/digest_exchange.h"
#include "marjoramloom/peer/nng_transport.h"
#include "marjoramloom/peer/totals_exchange.h"
#include "marjoramloom/peer/wire_codec.h"
#include "marjoramloom/share/dispatcher.h"
#include "marjoramloom/share/server_placement.h"
#include "marjoramloom/share/share_ledger.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <malloc.h>
#include <new>
#include <unistd.h>

namespace {

std::atomic<std::size_t> allocatedByteCount = 0;

} // namespace

auto operator new(std::size_t size) -> void *
{
    auto *memory = std::malloc(size);
    if (!memory) {
        throw std::bad_alloc();
    }
    allocatedByteCount += malloc_usable_size(memory);
    return memory;
}

auto operator delete(void *memory) noexcept -> void
{
    allocatedByteCount -= malloc_usable_size(memory);
    std::free(memory);
}

auto operator delete(void *memory, std::size_t) noexcept -> void
{
    operator delete(memory);
}

namespace marjoramloom {

auto allocatedBytes() -> std::size_t
{
    return allocatedByteCount;
}

namespace {

using namespace std::chrono_literals;

const auto start = time_point(1h);
constexpr auto extraMessages = 256; ///< Messages added to an envelope of one to measure the cost per message.
constexpr auto defaultRepetitions = 40;
constexpr auto headerBytesPerEnvelope = 74; ///< nng 8, TCP with timestamps 32, IP 20, Ethernet 14.

/// The cost of one more object, a row of the printed table. Fields that were not measured are negative.
struct slope
{
    std::string name;
    double bytes = -1; ///< On the wire, without headers.
    double encodeNs = -1;
    double decodeNs = -1;
    double memoryBytes = -1;
};

/// Processor time of the calling thread in nanoseconds.
auto threadCpuNs() -> double
{
    auto spent = timespec();
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return double(spent.tv_sec) * 1e9 + double(spent.tv_nsec);
}

/// Runs \p action repeatedly and returns its lowest processor time in nanoseconds.
template<typename Action>
auto minCpuNs(Action action, int repetitions = defaultRepetitions) -> double
{
    auto minimum = 1e18;
    for (auto repetition = 0; repetition < repetitions; ++repetition) {
        const auto before = threadCpuNs();
        action();
        minimum = std::min(minimum, threadCpuNs() - before);
    }
    return minimum;
}

/// Bytes and processor time of each further message of a kind in an envelope. \p add appends a message, \p read decodes
/// all.
template<typename Add, typename Read>
auto messageSlope(const std::string &name, Add add, Read read) -> slope
{
    const auto make = [&](int count) {
        auto message = wire::Envelope();
        message.set_version(1);
        for (auto index = 0; index < count; ++index) {
            add(message, index);
        }
        return message.SerializeAsString();
    };
    const auto parse = [&](const std::string &bytes) {
        auto message = wire::Envelope();
        message.ParseFromString(bytes);
        read(message);
    };
    const auto one = make(1);
    const auto manyMessages = make(extraMessages + 1);
    auto result = slope{ name };
    result.bytes = double(manyMessages.size() - one.size()) / extraMessages;
    result.encodeNs = (minCpuNs([&] { make(extraMessages + 1); }) - minCpuNs([&] { make(1); })) / extraMessages;
    result.decodeNs = (minCpuNs([&] { parse(manyMessages); }) - minCpuNs([&] { parse(one); })) / extraMessages;
    return result;
}

/// Memory per object. \p make takes a count and returns a container of that many objects.
template<typename Make>
auto memorySlope(Make make, int fewCount, int manyCount) -> double
{
    const auto measure = [&](int count) {
        const auto before = allocatedBytes();
        const auto objects = make(count);
        return double(allocatedBytes() - before);
    };
    return (measure(manyCount) - measure(fewCount)) / (manyCount - fewCount);
}

auto exampleMember(int index) -> member
{
    auto example = member();
    example.incarnation = 0x1A0000000000000 + static_cast<incarnation_id>(index);
    example.instance = "router-" + std::to_string(100'000 + index);
    example.dataCentre = "region-1-dc-" + std::to_string(1 + index % 3);
    example.region = "region-1";
    example.peerAddress = "10.11.12." + std::to_string(index % 250) + ":7946";
    example.configurationSequence = 250'000;
    example.heartbeatCount = 1'000'000;
    example.ready = true;
    return example;
}

const auto examplePool = pool_id{ "region-1-dc-1", { 250'000 << 10U } };

auto exampleTicket(int index) -> ticket
{
    auto example = ticket();
    example.id = { 0x1234567890ABCDEF, std::uint64_t(1'000'000 + index) };
    example.origin = examplePool;
    example.account = { std::uint64_t(100'000 + index % 41) << 10U };
    example.profile = { std::uint64_t(100'000) << 10U };
    example.expectedCost = 245;
    example.prefixHash = 0xABCDEF0123456789;
    example.submitted = start;
    example.deadline = start + 30s;
    return example;
}

auto exampleGrant(int index) -> grant
{
    auto example = grant();
    const auto waiting = exampleTicket(index);
    example.ticket = waiting.id;
    example.account = waiting.account;
    example.server = { std::uint64_t(200'000 + index) << 10U };
    example.pool = examplePool;
    example.charged = 245;
    example.reason = "load=3/8 pace=1.02 prefix=1 of 32";
    return example;
}

auto wireSlopes() -> std::vector<slope>
{
    auto why = last_reason();
    auto slopes = std::vector<slope>();
    slopes.push_back(messageSlope(
        "ticket",
        [](auto &message, int index) {
            const auto sent = addressed_ticket{ exampleTicket(index), examplePool };
            encode(sent, start, *message.add_tickets());
        },
        [&](const auto &message) {
            for (const auto &item : message.tickets()) {
                decodeTicket(item, start, "peer", why);
            }
        }));
    slopes.push_back(messageSlope(
        "grant", [](auto &message, int index) { encode(exampleGrant(index), *message.add_grants()); },
        [&](const auto &message) {
            for (const auto &item : message.grants()) {
                decodeGrant(item, "peer", why);
            }
        }));
    slopes.push_back(messageSlope(
        "progress",
        [](auto &message, int index) {
            const auto usage = request_use{ exampleTicket(index).id, examplePool, 123 };
            encode(usage, *message.add_progress());
        },
        [&](const auto &message) {
            for (const auto &item : message.progress()) {
                decodeProgress(item, "peer", why);
            }
        }));
    slopes.push_back(messageSlope(
        "settlement",
        [](auto &message, int index) {
            const auto usage = request_use{ exampleTicket(index).id, examplePool, 245 };
            encode(usage, *message.add_settlements());
        },
        [&](const auto &message) {
            for (const auto &item : message.settlements()) {
                decodeSettlement(item, "peer", why);
            }
        }));
    slopes.push_back(messageSlope(
        "service total",
        [](auto &message, int index) {
            const auto total = service_total{ 0x1234567890ABCDEF, exampleTicket(index).account, 1e9 + index };
            encode(total, *message.add_totals());
        },
        [&](const auto &message) {
            for (const auto &item : message.totals()) {
                decodeTotal(item, "peer", why);
            }
        }));
    slopes.push_back(messageSlope(
        "pace sample",
        [](auto &message, int index) {
            const auto sample = pace_sample{ exampleGrant(index).server, 0.2, 0.03, false };
            encode(sample, *message.add_samples());
        },
        [&](const auto &message) {
            for (const auto &item : message.samples()) {
                decodeSample(item, "peer", why);
            }
        }));
    slopes.push_back(messageSlope(
        "server notice",
        [](auto &message, int index) {
            auto notice = server_notice();
            notice.server = exampleGrant(index).server;
            notice.state = server_state::leaving;
            notice.unixMs = 1'800'000'000'000;
            encode(notice, *message.add_notices());
        },
        [&](const auto &message) {
            for (const auto &item : message.notices()) {
                decodeNotice(item, "peer", why);
            }
        }));
    slopes.push_back(messageSlope(
        "digest entry",
        [](auto &message, int index) {
            if (message.digests_size() == 0) {
                encode(pool_digest{ examplePool, 1, 0, {} }, *message.add_digests());
            }
            auto &entry = *message.mutable_digests(0)->add_waiting();
            entry.set_account(exampleTicket(index).account.value);
            entry.set_service(1e9 + index);
            entry.set_tickets(20);
        },
        [&](const auto &message) { decodeDigest(message.digests(0), "peer", why); }));
    slopes.push_back(messageSlope(
        "roster member",
        [](auto &message, int index) {
            if (message.rosters_size() == 0) {
                message.add_rosters();
            }
            encodeMember(exampleMember(index), *message.mutable_rosters(0)->add_members());
        },
        [&](const auto &message) { decodeRoster(message.rosters(0)); }));
    slopes.push_back(messageSlope(
        "heartbeat (short)",
        [](auto &message, int index) {
            // A heartbeat is sent in an envelope of its own. The envelope is stored as the value of a change, so that
            // several fit into one message.
            auto inner = wire::Envelope();
            inner.set_version(1);
            inner.set_sender(exampleMember(index).incarnation);
            inner.set_receiver(exampleMember(index).incarnation);
            inner.set_stream(20);
            inner.set_sequence(100'000);
            inner.set_heard_stream(20);
            inner.set_heard(100'000);
            encodeHeartbeat(exampleMember(index), false, *inner.mutable_heartbeat());
            message.add_changes()->set_value(inner.SerializeAsString());
        },
        [](const auto &message) {
            for (const auto &item : message.changes()) {
                auto inner = wire::Envelope();
                inner.ParseFromString(item.value());
                decodeMember(inner.sender(), inner.heartbeat());
            }
        }));
    return slopes;
}

auto exampleAccount(int index) -> configuration_object
{
    auto account = client_account();
    account.name = "account-" + std::to_string(index);
    const auto key = std::to_string(index);
    account.keyHashes = { std::string(64 - key.size(), '0') + key };
    return account;
}

auto exampleServer(int index) -> configuration_object
{
    auto server = backend_server();
    server.name = "engine-" + std::to_string(100'000 + index);
    server.service = "model-1";
    server.dataCentre = "region-1-dc-1";
    server.address = "10." + std::to_string(index / 250) + ".12." + std::to_string(index % 250) + ":8000";
    return server;
}

/// A configuration change that puts one object, as text.
auto encodeChange(std::uint64_t sequence, const configuration_object &object) -> std::string
{
    auto change = configuration_change();
    change.sequence = sequence;
    change.id = std::string(32, 'f');
    change.author = "operator@example";
    change.unixMs = 1'800'000'000'000;
    change.operations.push_back({ operation_kind::put, kindOf(object), nameOf(object), object });
    return changeToText(change);
}

/// A configuration store with \p accounts accounts and the 2,800 engines of the target deployment.
auto targetStore(counter_registry &counters, int accounts) -> std::unique_ptr<configuration_store>
{
    auto store = std::make_unique<configuration_store>(counters);
    auto change = configuration_change();
    change.id = "first";
    auto model = service();
    model.name = "model-1";
    model.profile = "chat";
    auto chat = profile();
    chat.name = "chat";
    change.operations.push_back({ operation_kind::put, object_kind::profile, "chat", chat });
    change.operations.push_back({ operation_kind::put, object_kind::service, "model-1", model });
    const auto flush = [&] {
        change.sequence = store->sequence() + 1;
        store->offer(change.sequence, changeToText(change), change_source::local);
        change.operations.clear();
    };
    const auto add = [&](const configuration_object &object) {
        change.operations.push_back({ operation_kind::put, kindOf(object), nameOf(object), object });
        if (change.operations.size() == maxOperationsPerChange) {
            flush();
        }
    };
    for (auto index = 0; index < accounts; ++index) {
        add(exampleAccount(index));
    }
    for (auto index = 0; index < 2'800; ++index) {
        add(exampleServer(index));
    }
    flush();
    if (store->read()->backendServers.size() != 2'800) {
        throw std::runtime_error("the configuration store refused the example configuration: engines are missing");
    }
    return store;
}

auto configurationSlopes() -> std::vector<slope>
{
    auto counters = counter_registry();
    auto slopes = std::vector<slope>();
    auto store = targetStore(counters, 410);
    const auto snapshot = store->snapshot();
    auto changeSlope = slope{ "change of one engine, at 2,800 engines" };
    changeSlope.bytes = double(encodeChange(1, exampleServer(0)).size());
    changeSlope.decodeNs = minCpuNs(
        [&] {
            const auto next = store->sequence() + 1;
            store->offer(next, encodeChange(next, exampleServer(int(next % 2'800))), change_source::local);
        },
        5);
    slopes.push_back(changeSlope);
    auto snapshotSlope = slope{ "snapshot of 410 accounts and 2,800 engines" };
    snapshotSlope.bytes = double(snapshot.value.size());
    snapshotSlope.decodeNs = minCpuNs(
        [&] {
            auto empty = configuration_store(counters);
            empty.offer(snapshot.sequence, snapshot.value, change_source::peer);
        },
        3);
    const auto before = allocatedBytes();
    const auto secondStore = targetStore(counters, 410);
    snapshotSlope.memoryBytes = double(allocatedBytes() - before);
    slopes.push_back(snapshotSlope);
    auto account = slope{ "account in the configuration" };
    account.memoryBytes = memorySlope([&](int count) { return targetStore(counters, count); }, 100, 500);
    slopes.push_back(account);
    return slopes;
}

auto exampleServers(int count) -> std::vector<backend_server>
{
    auto servers = std::vector<backend_server>();
    for (auto index = 0; index < count; ++index) {
        auto server = std::get<backend_server>(exampleServer(index));
        server.id = { std::uint64_t(200'000 + index) << 10U };
        servers.push_back(server);
    }
    return servers;
}

/// The ledger and the dispatcher of one pool, with a given number of engines.
struct pool_under_test
{
    explicit pool_under_test(int engines)
    {
        auto weights = std::map<object_id, double>();
        for (auto index = 0; index < 41; ++index) {
            weights[exampleTicket(index).account] = 1;
        }
        ledger.setWeights(weights);
        poolDispatcher.placement().setServers(exampleServers(engines), start);
    }

    auto submit(int from, int count) -> void
    {
        for (auto index = from; index < from + count; ++index) {
            poolDispatcher.submit(exampleTicket(index), start);
        }
    }

    share_ledger ledger;
    dispatcher poolDispatcher{ examplePool, {}, ledger };
};

auto decisionSlopes() -> std::vector<slope>
{
    auto slopes = std::vector<slope>();
    auto waiting = slope{ "waiting ticket" };
    waiting.memoryBytes = memorySlope(
        [](int count) {
            auto pool = std::make_unique<pool_under_test>(0);
            pool->submit(0, count);
            return pool;
        },
        100, 1'100);
    slopes.push_back(waiting);
    auto engine = slope{ "engine in a placement" };
    engine.memoryBytes = memorySlope([](int count) { return std::make_unique<pool_under_test>(count); }, 10, 110);
    slopes.push_back(engine);
    auto running = slope{ "running request" };
    running.memoryBytes = memorySlope(
        [](int count) {
            auto pool = std::make_unique<pool_under_test>(130);
            pool->submit(0, count);
            [[maybe_unused]] const auto decided = pool->poolDispatcher.decide(start);
            return pool;
        },
        100, 900);
    slopes.push_back(running);
    // Each request is submitted, granted, reported as progress twice and settled. The 32 engines have nearly no free
    // slots, and 41 accounts are backlogged.
    auto pool = pool_under_test(32);
    pool.submit(0, 1'000);
    auto granted = std::deque<grant>();
    const auto decide = [&](time_point now) {
        for (auto &newGrant : pool.poolDispatcher.decide(now).grants) {
            granted.push_back(newGrant);
        }
    };
    decide(start);
    auto serial = 1'000;
    auto now = start;
    auto cycle = slope{ "request at a dispatcher, submit to settle" };
    constexpr auto requests = 200;
    cycle.decodeNs = minCpuNs([&] {
                         for (auto index = 0; index < requests && !granted.empty(); ++index) {
                             now += 9ms;
                             const auto oldest = granted.front();
                             granted.pop_front();
                             pool.poolDispatcher.progress(oldest.ticket, 100, now);
                             pool.poolDispatcher.progress(oldest.ticket, 200, now);
                             pool.poolDispatcher.settle(oldest.ticket, 245, now);
                             auto next = exampleTicket(serial++);
                             next.submitted = now;
                             next.deadline = now + 30s;
                             pool.poolDispatcher.submit(next, now);
                             decide(now);
                         }
                     })
        / requests;
    slopes.push_back(cycle);
    auto total = slope{ "service total in a ledger" };
    total.memoryBytes = memorySlope(
        [](int count) {
            auto ledger = std::make_unique<share_ledger>();
            for (auto index = 0; index < count; ++index) {
                ledger->count(incarnation_id(1 + index / 41), exampleTicket(index).account, 5);
            }
            return ledger;
        },
        410, 4'100);
    slopes.push_back(total);
    return slopes;
}

auto memberSlope() -> slope
{
    auto result = slope{ "member" };
    result.memoryBytes = memorySlope(
        [](int count) {
            auto routers = std::make_unique<membership>(exampleMember(0), membership_settings());
            for (auto index = 1; index <= count; ++index) {
                routers->onHeartbeat(exampleMember(index), start);
            }
            [[maybe_unused]] const auto events = routers->takeEvents();
            return routers;
        },
        40, 340);
    return result;
}

/// Resident memory of this process in bytes.
auto residentBytes() -> double
{
    auto file = std::ifstream("/proc/self/statm");
    auto total = 0.0;
    auto resident = 0.0;
    file >> total >> resident;
    return resident * double(sysconf(_SC_PAGESIZE));
}

/// Memory of one connected nng link. Both ends are in this process and counted.
auto nngLinkSlope() -> slope
{
    constexpr auto links = 256;
    auto context = boost::asio::io_context();
    auto transport = nng_transport(context.get_executor());
    auto why = last_reason();
    auto result = slope{ "nng link, both ends" };
    if (!transport.listen("127.0.0.1:0", why)) {
        return result;
    }
    const auto openLinks = [&](int count) {
        for (auto index = 0; index < count; ++index) {
            const auto link = transport.open(transport.listenAddress());
            transport.write(link, std::string(64, 'x'));
        }
        context.run_for(500ms);
        context.restart();
    };
    openLinks(8);
    const auto before = residentBytes();
    openLinks(links);
    result.memoryBytes = (residentBytes() - before) / links;
    return result;
}

/// Measurements of the control traffic between the routers of a simulated fleet.
struct fleet_figures
{
    double seconds = 0;
    double meanBytes = 0; ///< Sent by a router per second, without headers.
    double worstBytes = 0; ///< Sent per second by the router that sends the most bytes.
    double meanEnvelopes = 0; ///< Sent by a router per second.
    double worstEnvelopes = 0; ///< Sent per second by the router that sends the most bytes.
    double coreFraction = 0; ///< Processor time per router including the fake network, as a fraction of a core.
    double memoryBytes = 0; ///< Links, members and exchanges of a router, without sockets.
    double links = 0; ///< Mean number per router.
};

/// A router of the simulated fleet with its ledger and its exchanges of totals and digests.
struct fleet_router
{
    fleet_router(fake_network &network, const std::string &instance, const std::map<object_id, double> &weights,
                 const std::vector<object_id> &models)
        : peer(network, instance)
        , totals(peer, ledger, {})
        , digests(peer, {}, [](const pool_digest &) {})
    {
        ledger.setWeights(weights);
        totals.setServices(models);
        peer.mesh().setReceiver([this, &network](incarnation_id from, const wire::Envelope &message) {
            totals.receive(from, message);
            digests.receive(from, message, network.now());
        });
        peer.mesh().setMemberListener([this](const member_event &event) {
            digests.onMember(event.memberInfo.incarnation);
            if (!event.joined) {
                totals.onMemberLost(event.memberInfo.incarnation);
            }
        });
    }

    fake_peer peer;
    share_ledger ledger;
    totals_exchange<fake_peer> totals;
    digest_exchange<fake_peer> digests;
};

/// Size and load of a simulated fleet.
struct fleet_plan
{
    int dataCentres = 3;
    int regions = 1;
    int routers = 9;
    int accounts = 16;
    int backlogged = 4;
    double requestsPerSecond = 50;
    int models = 2;
};

/// Simulates the control messages of a fleet of routers on a manual clock and a fake network.
class simulated_fleet
{
public:
    explicit simulated_fleet(const fleet_plan &plan)
        : m_plan(plan)
        , m_network(7)
    {
        m_network.period = 100ms;
        m_network.delay = 5ms;
        for (auto index = 0; index < plan.accounts; ++index) {
            m_weights[{ std::uint64_t(1'000 + index) << 10U }] = 1;
            m_accounts.push_back({ std::uint64_t(1'000 + index) << 10U });
        }
        for (auto index = 0; index < plan.models; ++index) {
            m_models.push_back({ std::uint64_t(10 + index) << 10U });
        }
        for (auto index = 0; index < plan.routers; ++index) {
            const auto dataCentreIndex = index % plan.dataCentres;
            auto listed = listed_instance();
            listed.name = "router" + std::to_string(10'000 + index);
            listed.dataCentre =
                "r" + std::to_string(dataCentreIndex % plan.regions) + "-dc" + std::to_string(dataCentreIndex);
            listed.address = listed.name + ":1";
            m_network.listed.push_back(listed);
        }
        for (const auto &listed : m_network.listed) {
            m_network.add(listed.name, listed.dataCentre, {});
            m_routers[listed.name] = std::make_unique<fleet_router>(m_network, listed.name, m_weights, m_models);
        }
    }

    /// Runs for \p warmUp, then measures for \p length. The memory is left at 0.
    auto measure(duration warmUp, duration length) -> fleet_figures
    {
        run(warmUp);
        m_network.bytes.clear();
        m_network.envelopes.clear();
        const auto before = threadCpuNs();
        run(length);
        const auto spent = threadCpuNs() - before;
        auto figures = fleet_figures();
        figures.seconds = toSeconds(length);
        figures.coreFraction = spent / 1e9 / figures.seconds / m_plan.routers;
        for (const auto &[address, bytes] : m_network.bytes) {
            const auto envelopes = double(m_network.envelopes[address]) / figures.seconds;
            figures.meanBytes += double(bytes) / figures.seconds / m_plan.routers;
            figures.meanEnvelopes += envelopes / m_plan.routers;
            if (double(bytes) / figures.seconds > figures.worstBytes) {
                figures.worstBytes = double(bytes) / figures.seconds;
                figures.worstEnvelopes = envelopes;
            }
        }
        for (const auto &[name, router] : m_routers) {
            figures.links += double(router->peer.mesh().linkAddresses().size()) / m_plan.routers;
        }
        return figures;
    }

private:
    auto run(duration length) -> void
    {
        for (const auto end = m_network.now() + length; m_network.now() < end;) {
            m_network.run(500ms);
            simulateRequests(0.5);
            for (auto &[name, router] : m_routers) {
                publishDigests(*router);
                router->totals.tick(m_network.now());
                router->digests.tick(m_network.now());
            }
        }
    }

    /// Every router counts its share of the requests in its ledger, half of them for backlogged accounts.
    auto simulateRequests(double seconds) -> void
    {
        const auto requestsPerRouter = m_plan.requestsPerSecond * seconds / m_plan.routers;
        auto anyAccount = boost::random::uniform_int_distribution<int>(0, m_plan.accounts - 1);
        auto backloggedAccount = boost::random::uniform_int_distribution<int>(0, m_plan.backlogged - 1);
        for (auto &[name, router] : m_routers) {
            for (auto count = 0; count < int(requestsPerRouter); ++count) {
                const auto index = count % 2 == 0 ? anyAccount(m_random) : backloggedAccount(m_random);
                router->ledger.count(router->peer.self().incarnation, m_accounts[std::size_t(index)], 245);
            }
        }
    }

    /// A router that runs a dispatcher publishes a digest of at most 16 accounts, like the real dispatcher.
    auto publishDigests(fleet_router &router) -> void
    {
        constexpr auto maxDigestAccounts = 16;
        const auto dataCentreMembers = groupByDataCentre(router.peer.members())[router.peer.self().dataCentre];
        for (const auto &model : m_models) {
            const auto pool = pool_id{ router.peer.self().dataCentre, model };
            if (findRoleHolder(dataCentreMembers, dispatcherRole(pool)) != router.peer.self().incarnation) {
                continue;
            }
            auto digest = pool_digest{ pool, 1, 0, {} };
            for (auto index = 0; index < std::min(m_plan.backlogged, maxDigestAccounts); ++index) {
                const auto account = m_accounts[std::size_t(index)];
                digest.waiting.push_back({ account, router.ledger.receivedService(account), 20 });
            }
            router.digests.publish(digest, m_network.now());
        }
    }

    fleet_plan m_plan;
    fake_network m_network;
    boost::random::mt19937 m_random{ 11 };
    std::map<object_id, double> m_weights;
    std::vector<object_id> m_accounts;
    std::vector<object_id> m_models;
    std::map<std::string, std::unique_ptr<fleet_router>> m_routers;
};

/// Measures a simulated fleet. Links opened during discovery close only after half a minute, so that a shorter \p
/// warmUp counts them, too.
auto measureFleet(const fleet_plan &plan, duration warmUp, duration length) -> fleet_figures
{
    const auto before = allocatedBytes();
    auto fleet = simulated_fleet(plan);
    auto figures = fleet.measure(warmUp, length);
    figures.memoryBytes = double(allocatedBytes() - before) / plan.routers;
    return figures;
}

auto formatCell(double value) -> std::string
{
    if (value < 0) {
        return "-";
    }
    auto text = std::array<char, 32>();
    std::snprintf(text.data(), text.size(), "%.1f", value);
    return text.data();
}

auto printSlopes(const std::vector<slope> &slopes) -> void
{
    std::printf("%-44s %12s %12s %14s %12s\n", "one more", "wire bytes", "encode ns", "decode/do ns", "memory B");
    for (const auto &row : slopes) {
        std::printf("%-44s %12s %12s %14s %12s\n", row.name.c_str(), formatCell(row.bytes).c_str(),
                    formatCell(row.encodeNs).c_str(), formatCell(row.decodeNs).c_str(),
                    formatCell(row.memoryBytes).c_str());
    }
}

auto printFleet(const char *name, const fleet_figures &figures) -> void
{
    std::printf("\ncontrol of one router, %s (heartbeats, rosters, digests, totals; sent a second)\n", name);
    std::printf("  mean  %8.0f B in %6.1f envelopes, %8.0f B with headers\n", figures.meanBytes, figures.meanEnvelopes,
                figures.meanBytes + headerBytesPerEnvelope * figures.meanEnvelopes);
    std::printf("  worst %8.0f B in %6.1f envelopes, %8.0f B with headers\n", figures.worstBytes,
                figures.worstEnvelopes, figures.worstBytes + headerBytesPerEnvelope * figures.worstEnvelopes);
    std::printf("  processor %.3f %% of a core, memory %.0f kB, links %.1f\n", figures.coreFraction * 100,
                figures.memoryBytes / 1'000, figures.links);
}

auto toJson(const fleet_figures &figures) -> boost::json::object
{
    return { { "mean_bytes_per_second", figures.meanBytes },
             { "worst_bytes_per_second", figures.worstBytes },
             { "mean_envelopes_per_second", figures.meanEnvelopes },
             { "worst_envelopes_per_second", figures.worstEnvelopes },
             { "core_fraction", figures.coreFraction },
             { "memory_bytes", figures.memoryBytes },
             { "links", figures.links } };
}

auto writeJson(const std::string &path, const std::vector<slope> &slopes, const fleet_figures &today,
               const fleet_figures &target) -> void
{
    auto rows = boost::json::array();
    for (const auto &row : slopes) {
        rows.push_back(boost::json::object{ { "one_more", row.name },
                                            { "wire_bytes", row.bytes },
                                            { "encode_ns", row.encodeNs },
                                            { "decode_ns", row.decodeNs },
                                            { "memory_bytes", row.memoryBytes } });
    }
    const auto document =
        boost::json::object{ { "slopes", rows }, { "today", toJson(today) }, { "target", toJson(target) } };
    std::ofstream(path) << boost::json::serialize(document) << '\n';
}

} // namespace

} // namespace marjoramloom

/// Usage: `slopes_bench [FILE]`. Prints the table and, where FILE is given, writes it there as JSON.
auto main(int argc, char **argv) -> int
{
    using namespace marjoramloom;
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    auto slopes = wireSlopes();
    for (auto &part : { configurationSlopes(), decisionSlopes() }) {
        slopes.insert(slopes.end(), part.begin(), part.end());
    }
    slopes.push_back(memberSlope());
    slopes.push_back(nngLinkSlope());
    printSlopes(slopes);
    const auto today = measureFleet({}, 60s, 60s);
    printFleet("today: 9 routers, 3 data centres", today);
    const auto target = measureFleet({ 22, 8, 340, 410, 41, 9'400, 4 }, 10s, 6s);
    printFleet("target: 340 routers, 22 data centres", target);
    if (argc > 1) {
        writeJson(argv[1], slopes, today, target);
    }
    return 0;
}
