// Slopes for docs/CAPACITY.md: what one more heartbeat, ticket, digest entry, member, account or engine costs.

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

std::atomic<std::size_t> allocated = 0;

} // namespace

auto operator new(std::size_t size) -> void *
{
    auto *memory = std::malloc(size);
    if (!memory) {
        throw std::bad_alloc();
    }
    allocated += malloc_usable_size(memory);
    return memory;
}

auto operator delete(void *memory) noexcept -> void
{
    allocated -= malloc_usable_size(memory);
    std::free(memory);
}

auto operator delete(void *memory, std::size_t) noexcept -> void
{
    operator delete(memory);
}

namespace marjoramloom {

auto allocatedBytes() -> std::size_t
{
    return allocated;
}

namespace {

using namespace std::chrono_literals;

const auto start = time_point(1h);
constexpr auto batch = 256; ///< Messages between which a slope is taken.
constexpr auto repeats = 40;
constexpr auto headerBytes = 74; ///< Per envelope: nng 8, TCP with timestamps 32, IP 20, Ethernet 14.

/// One line of the table; fields that were not measured are negative.
struct slope
{
    std::string what;
    double bytes = -1; ///< On the wire, without headers.
    double encodeNs = -1;
    double decodeNs = -1;
    double memoryBytes = -1;
};

auto threadNs() -> double
{
    auto spent = timespec();
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return double(spent.tv_sec) * 1e9 + double(spent.tv_nsec);
}

/// Least processor time of \p action over some repeats, in nanoseconds.
template<typename Action>
auto leastNs(Action action, int times = repeats) -> double
{
    auto least = 1e18;
    for (auto repeat = 0; repeat < times; ++repeat) {
        const auto before = threadNs();
        action();
        least = std::min(least, threadNs() - before);
    }
    return least;
}

/// Bytes and processor time of one more message of a kind, within an envelope of many.
template<typename Add, typename Read>
auto messageSlope(const std::string &what, Add add, Read read) -> slope
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
    const auto many = make(batch + 1);
    auto found = slope{ what };
    found.bytes = double(many.size() - one.size()) / batch;
    found.encodeNs = (leastNs([&] { make(batch + 1); }) - leastNs([&] { make(1); })) / batch;
    found.decodeNs = (leastNs([&] { parse(many); }) - leastNs([&] { parse(one); })) / batch;
    return found;
}

/// Memory that \p count things take in what \p make returns, each.
template<typename Make>
auto memorySlope(Make make, int few, int many) -> double
{
    const auto measure = [&](int count) {
        const auto before = allocatedBytes();
        const auto held = make(count);
        return double(allocatedBytes() - before);
    };
    return (measure(many) - measure(few)) / (many - few);
}

auto exampleMember(int index) -> member
{
    auto memberInfo = member();
    memberInfo.incarnation = 0x1A0000000000000 + static_cast<incarnation_id>(index);
    memberInfo.instance = "router-" + std::to_string(100'000 + index);
    memberInfo.dataCentre = "region-1-dc-" + std::to_string(1 + index % 3);
    memberInfo.region = "region-1";
    memberInfo.peerAddress = "10.11.12." + std::to_string(index % 250) + ":7946";
    memberInfo.configurationSequence = 250'000;
    memberInfo.heartbeatCount = 1'000'000;
    memberInfo.ready = true;
    return memberInfo;
}

const auto examplePool = pool_id{ "region-1-dc-1", { 250'000 << 10U } };

auto exampleTicket(int index) -> ticket
{
    auto waiting = ticket();
    waiting.id = { 0x1234567890ABCDEF, std::uint64_t(1'000'000 + index) };
    waiting.origin = examplePool;
    waiting.account = { std::uint64_t(100'000 + index % 41) << 10U };
    waiting.profile = { std::uint64_t(100'000) << 10U };
    waiting.expectedCost = 245;
    waiting.prefixHash = 0xABCDEF0123456789;
    waiting.submitted = start;
    waiting.deadline = start + 30s;
    return waiting;
}

auto exampleGrant(int index) -> grant
{
    auto given = grant();
    const auto waiting = exampleTicket(index);
    given.ticket = waiting.id;
    given.account = waiting.account;
    given.server = { std::uint64_t(200'000 + index) << 10U };
    given.pool = examplePool;
    given.charged = 245;
    given.reason = "load=3/8 pace=1.02 prefix=1 of 32";
    return given;
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
            const auto use = request_use{ exampleTicket(index).id, examplePool, 123 };
            encode(use, *message.add_progress());
        },
        [&](const auto &message) {
            for (const auto &item : message.progress()) {
                decodeProgress(item, "peer", why);
            }
        }));
    slopes.push_back(messageSlope(
        "settlement",
        [](auto &message, int index) {
            const auto use = request_use{ exampleTicket(index).id, examplePool, 245 };
            encode(use, *message.add_settlements());
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
            auto &row = *message.mutable_digests(0)->add_waiting();
            row.set_account(exampleTicket(index).account.value);
            row.set_service(1e9 + index);
            row.set_tickets(20);
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
            // A whole envelope, as it is sent alone: kept as a value of a change to take the slope of its bytes.
            auto alone = wire::Envelope();
            alone.set_version(1);
            alone.set_sender(exampleMember(index).incarnation);
            alone.set_receiver(exampleMember(index).incarnation);
            alone.set_stream(20);
            alone.set_sequence(100'000);
            alone.set_heard_stream(20);
            alone.set_heard(100'000);
            encodeHeartbeat(exampleMember(index), false, *alone.mutable_heartbeat());
            message.add_changes()->set_value(alone.SerializeAsString());
        },
        [](const auto &message) {
            for (const auto &item : message.changes()) {
                auto alone = wire::Envelope();
                alone.ParseFromString(item.value());
                decodeMember(alone.sender(), alone.heartbeat());
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

auto changeOf(std::uint64_t sequence, const configuration_object &object) -> std::string
{
    auto change = configuration_change();
    change.sequence = sequence;
    change.id = std::string(32, 'f');
    change.author = "operator@example";
    change.unixMs = 1'800'000'000'000;
    change.operations.push_back({ operation_kind::put, kindOf(object), nameOf(object), object });
    return changeToText(change);
}

/// A store with the target's 2,800 engines and \p accounts accounts.
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
        throw std::runtime_error("the example configuration was refused");
    }
    return store;
}

auto configurationSlopes() -> std::vector<slope>
{
    auto counters = counter_registry();
    auto slopes = std::vector<slope>();
    auto store = targetStore(counters, 410);
    const auto snapshot = store->snapshot();
    auto applied = slope{ "change of one engine, at 2,800 engines" };
    applied.bytes = double(changeOf(1, exampleServer(0)).size());
    applied.decodeNs = leastNs(
        [&] {
            const auto next = store->sequence() + 1;
            store->offer(next, changeOf(next, exampleServer(int(next % 2'800))), change_source::local);
        },
        5);
    slopes.push_back(applied);
    auto whole = slope{ "snapshot of 410 accounts and 2,800 engines" };
    whole.bytes = double(snapshot.value.size());
    whole.decodeNs = leastNs(
        [&] {
            auto empty = configuration_store(counters);
            empty.offer(snapshot.sequence, snapshot.value, change_source::peer);
        },
        3);
    const auto before = allocatedBytes();
    const auto kept = targetStore(counters, 410);
    whole.memoryBytes = double(allocatedBytes() - before);
    slopes.push_back(whole);
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

/// A ledger and a dispatcher with \p engines engines, as one pool has them.
struct pool_under_test
{
    explicit pool_under_test(int engines)
    {
        auto weights = std::map<object_id, double>();
        for (auto index = 0; index < 41; ++index) {
            weights[exampleTicket(index).account] = 1;
        }
        ledger.setWeights(weights);
        holder.placement().setServers(exampleServers(engines), start);
    }

    auto submit(int from, int count) -> void
    {
        for (auto index = from; index < from + count; ++index) {
            holder.submit(exampleTicket(index), start);
        }
    }

    share_ledger ledger;
    dispatcher holder{ examplePool, {}, ledger };
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
            [[maybe_unused]] const auto decided = pool->holder.decide(start);
            return pool;
        },
        100, 900);
    slopes.push_back(running);
    // Submit, decide, progress twice, settle; 32 engines, their slots nearly full, 41 accounts backlogged.
    auto pool = pool_under_test(32);
    pool.submit(0, 1'000);
    auto granted = std::deque<grant>();
    const auto decide = [&](time_point now) {
        for (auto &given : pool.holder.decide(now).grants) {
            granted.push_back(given);
        }
    };
    decide(start);
    auto serial = 1'000;
    auto now = start;
    auto cycle = slope{ "request at a dispatcher, submit to settle" };
    constexpr auto requests = 200;
    cycle.decodeNs = leastNs([&] {
                         for (auto index = 0; index < requests && !granted.empty(); ++index) {
                             now += 9ms;
                             const auto done = granted.front();
                             granted.pop_front();
                             pool.holder.progress(done.ticket, 100, now);
                             pool.holder.progress(done.ticket, 200, now);
                             pool.holder.settle(done.ticket, 245, now);
                             auto next = exampleTicket(serial++);
                             next.submitted = now;
                             next.deadline = now + 30s;
                             pool.holder.submit(next, now);
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
    auto found = slope{ "member" };
    found.memoryBytes = memorySlope(
        [](int count) {
            auto routers = std::make_unique<membership>(exampleMember(0), membership_settings());
            for (auto index = 1; index <= count; ++index) {
                routers->onHeartbeat(exampleMember(index), start);
            }
            [[maybe_unused]] const auto events = routers->takeEvents();
            return routers;
        },
        40, 340);
    return found;
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

/// Memory of one connected nng link with its listener's end, both in this process.
auto nngLinkSlope() -> slope
{
    constexpr auto links = 256;
    auto context = boost::asio::io_context();
    auto transport = nng_transport(context.get_executor());
    auto why = last_reason();
    auto found = slope{ "nng link, both ends" };
    if (!transport.listen("127.0.0.1:0", why)) {
        return found;
    }
    const auto openSome = [&](int count) {
        for (auto index = 0; index < count; ++index) {
            const auto link = transport.open(transport.listenAddress());
            transport.write(link, std::string(64, 'x'));
        }
        context.run_for(500ms);
        context.restart();
    };
    openSome(8);
    const auto before = residentBytes();
    openSome(links);
    found.memoryBytes = (residentBytes() - before) / links;
    return found;
}

/// The control traffic of a whole fleet on a manual clock.
struct fleet_figures
{
    double seconds = 0;
    double meanBytes = 0; ///< Sent by a router a second, without headers.
    double worstBytes = 0;
    double meanEnvelopes = 0; ///< Sent by a router a second.
    double worstEnvelopes = 0; ///< Of the router that sends the most bytes.
    double coreFraction = 0; ///< Processor time of a router, as a fraction of a core; the fake network included.
    double memoryBytes = 0; ///< Of a router's links, members and exchanges; sockets excluded.
    double links = 0; ///< Held by a router, mean.
};

/// A router of the simulated fleet with its exchanges.
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
            const auto place = index % plan.dataCentres;
            auto row = listed_instance();
            row.name = "router" + std::to_string(10'000 + index);
            row.dataCentre = "r" + std::to_string(place % plan.regions) + "-dc" + std::to_string(place);
            row.address = row.name + ":1";
            m_network.listed.push_back(row);
        }
        for (const auto &row : m_network.listed) {
            m_network.add(row.name, row.dataCentre, {});
            m_routers[row.name] = std::make_unique<fleet_router>(m_network, row.name, m_weights, m_models);
        }
    }

    auto measure(duration settle, duration length) -> fleet_figures
    {
        run(settle);
        m_network.bytes.clear();
        m_network.envelopes.clear();
        const auto before = threadNs();
        run(length);
        const auto spent = threadNs() - before;
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
            serve(0.5);
            for (auto &[name, router] : m_routers) {
                publish(*router);
                router->totals.tick(m_network.now());
                router->digests.tick(m_network.now());
            }
        }
    }

    /// Every router serves its share of the requests: half of them for the backlogged accounts.
    auto serve(double seconds) -> void
    {
        const auto each = m_plan.requestsPerSecond * seconds / m_plan.routers;
        auto any = boost::random::uniform_int_distribution<int>(0, m_plan.accounts - 1);
        auto busy = boost::random::uniform_int_distribution<int>(0, m_plan.backlogged - 1);
        for (auto &[name, router] : m_routers) {
            for (auto count = 0; count < int(each); ++count) {
                const auto index = count % 2 == 0 ? any(m_random) : busy(m_random);
                router->ledger.count(router->peer.self().incarnation, m_accounts[std::size_t(index)], 245);
            }
        }
    }

    /// Whoever holds a dispatcher tells of 16 accounts at most, as the real one does.
    auto publish(fleet_router &router) -> void
    {
        constexpr auto mostAccounts = 16;
        const auto own = groupByDataCentre(router.peer.members())[router.peer.self().dataCentre];
        for (const auto &model : m_models) {
            const auto pool = pool_id{ router.peer.self().dataCentre, model };
            if (findRoleHolder(own, dispatcherRole(pool)) != router.peer.self().incarnation) {
                continue;
            }
            auto digest = pool_digest{ pool, 1, 0, {} };
            for (auto index = 0; index < std::min(m_plan.backlogged, mostAccounts); ++index) {
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

/// Links that were made while the routers looked for each other are closed after half a minute: a shorter \p settle
/// counts them, too.
auto measureFleet(const fleet_plan &plan, duration settle, duration length) -> fleet_figures
{
    const auto before = allocatedBytes();
    auto fleet = simulated_fleet(plan);
    auto figures = fleet.measure(settle, length);
    figures.memoryBytes = double(allocatedBytes() - before) / plan.routers;
    return figures;
}

auto cell(double value) -> std::string
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
    for (const auto &one : slopes) {
        std::printf("%-44s %12s %12s %14s %12s\n", one.what.c_str(), cell(one.bytes).c_str(),
                    cell(one.encodeNs).c_str(), cell(one.decodeNs).c_str(), cell(one.memoryBytes).c_str());
    }
}

auto printFleet(const char *name, const fleet_figures &figures) -> void
{
    std::printf("\ncontrol of one router, %s (heartbeats, rosters, digests, totals; sent a second)\n", name);
    std::printf("  mean  %8.0f B in %6.1f envelopes, %8.0f B with headers\n", figures.meanBytes, figures.meanEnvelopes,
                figures.meanBytes + headerBytes * figures.meanEnvelopes);
    std::printf("  worst %8.0f B in %6.1f envelopes, %8.0f B with headers\n", figures.worstBytes,
                figures.worstEnvelopes, figures.worstBytes + headerBytes * figures.worstEnvelopes);
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
    for (const auto &one : slopes) {
        rows.push_back(boost::json::object{ { "one_more", one.what },
                                            { "wire_bytes", one.bytes },
                                            { "encode_ns", one.encodeNs },
                                            { "decode_ns", one.decodeNs },
                                            { "memory_bytes", one.memoryBytes } });
    }
    const auto all =
        boost::json::object{ { "slopes", rows }, { "today", toJson(today) }, { "target", toJson(target) } };
    std::ofstream(path) << boost::json::serialize(all) << '\n';
}

} // namespace

} // namespace marjoramloom

/// `slopes_bench [FILE]`: prints the table, and writes it as JSON to FILE.
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
