#include "marjoramloom/router/memory_ledger.h"

#include "marjoramloom/router/connection_registry.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace marjoramloom;

namespace {

constexpr auto start = time_point(std::chrono::hours(1));

} // namespace

BOOST_AUTO_TEST_SUITE(memory_ledger_test)

// A sum over the limit, or a small holder that is refused for the sake of larger ones, would let one client take the
// memory of a router.
BOOST_AUTO_TEST_CASE(random_sequences_never_pass_the_limit_and_admit_small_holders)
{
    constexpr auto limit = std::size_t(1'000'000);
    constexpr auto steps = 4'000;
    for (auto seed = 1U; seed <= 20; ++seed) {
        auto random = std::mt19937(seed);
        auto ledger = memory_ledger(limit);
        auto now = start;
        auto holders = std::vector<memory_ledger::holder *>();
        auto sum = [&] {
            auto bytes = std::size_t(0);
            for (const auto *holder : holders) {
                bytes += holder->bytes();
            }
            return bytes;
        };
        auto refused = 0;
        for (auto step = 0; step < steps; ++step) {
            now += std::chrono::milliseconds(random() % 20);
            if (holders.size() < 40 || random() % 8 == 0) {
                holders.push_back(&ledger.add(random() % 5, now));
                ledger.setEvictable(*holders.back(), true);
            }
            const auto index = random() % holders.size();
            auto &asking = *holders[index];
            if (random() % 10 == 0) {
                ledger.remove(asking);
                holders.erase(holders.begin() + static_cast<std::ptrdiff_t>(index));
                continue;
            }
            if (random() % 10 == 0) {
                ledger.setParty(asking, random() % 5);
            }
            ledger.noteProgress(asking, now);
            const auto wanted = asking.bytes() + random() % 60'000;
            auto verdict = ledger.resize(asking, wanted, now);
            for (auto *victim : verdict.victims) {
                BOOST_TEST_REQUIRE(victim != &asking);
                BOOST_TEST_REQUIRE(victim->bytes() > 0U);
                ledger.resize(*victim, 0, now);
            }
            if (!verdict.granted && !verdict.victims.empty()) {
                BOOST_TEST_REQUIRE(ledger.resize(asking, wanted, now).granted);
            } else if (!verdict.granted) {
                ++refused;
                // Whoever would hold the least of all is always admitted.
                const auto isLeast = std::all_of(holders.begin(), holders.end(), [&](const auto *other) {
                    return other == &asking || other->bytes() == 0 || other->bytes() > wanted;
                });
                BOOST_TEST_REQUIRE(!isLeast);
            }
            BOOST_TEST_REQUIRE(ledger.used() <= limit);
            BOOST_TEST_REQUIRE(ledger.used() == sum());
        }
        BOOST_TEST(refused > 0);
    }
}

BOOST_AUTO_TEST_CASE(stalled_holders_yield_first_and_then_the_largest_holder_of_the_largest_party)
{
    auto ledger = memory_ledger(100);
    const auto add = [&](std::uint64_t party, std::size_t bytes, time_point progress) -> memory_ledger::holder & {
        auto &added = ledger.add(party, progress);
        ledger.setEvictable(added, true);
        BOOST_TEST(ledger.resize(added, bytes, progress).granted);
        return added;
    };
    const auto now = start + std::chrono::seconds(10);
    auto &stalled = add(1, 10, start);
    auto &large = add(2, 30, now);
    add(2, 25, now);
    add(3, 35, now);
    auto &asking = ledger.add(4, now);
    const auto first = ledger.resize(asking, 10, now);
    BOOST_TEST(!first.granted);
    BOOST_TEST((first.victims == std::vector{ &stalled }));
    const auto second = ledger.resize(asking, 20, now);
    BOOST_TEST((second.victims == std::vector{ &stalled, &large }));
}

BOOST_AUTO_TEST_CASE(a_holder_of_much_is_refused_and_takes_nothing_from_holders_of_little)
{
    auto ledger = memory_ledger(100);
    auto &large = ledger.add(1, start);
    BOOST_TEST(ledger.resize(large, 80, start).granted);
    auto &small = ledger.add(2, start);
    ledger.setEvictable(small, true);
    BOOST_TEST(ledger.resize(small, 20, start).granted);
    const auto refusal = ledger.resize(large, 90, start);
    BOOST_TEST(!refusal.granted);
    BOOST_TEST(refusal.victims.empty());
    // Nor does it yield where it may not be evicted.
    BOOST_TEST(ledger.resize(small, 30, start).victims.empty());
    ledger.setEvictable(large, true);
    BOOST_TEST((ledger.resize(small, 30, start).victims == std::vector{ &large }));
}

// A crowd of silent connections must not keep others from connecting, and must not close connections with a request.
BOOST_AUTO_TEST_CASE(silent_connections_yield_before_idle_ones_and_busy_ones_stay)
{
    auto registry = connection_registry();
    auto closed = std::vector<int>();
    auto entries = std::vector<std::unique_ptr<connection_registry::entry>>();
    const auto connect = [&] {
        const auto number = static_cast<int>(entries.size());
        entries.push_back(
            std::make_unique<connection_registry::entry>(registry, [&closed, number] { closed.push_back(number); }));
    };
    constexpr auto limit = std::size_t(4);
    for (auto index = std::size_t(0); index < limit; ++index) {
        BOOST_TEST(registry.makeRoom(limit));
        connect();
    }
    entries[0]->setState(connection_registry::state::busy);
    entries[3]->setState(connection_registry::state::busy);
    entries[0]->setState(connection_registry::state::idle);
    BOOST_TEST(registry.makeRoom(limit));
    connect();
    BOOST_TEST(registry.makeRoom(limit));
    connect();
    BOOST_TEST((closed == std::vector{ 1, 2 }));
    entries[4]->setState(connection_registry::state::busy);
    entries[5]->setState(connection_registry::state::busy);
    BOOST_TEST(registry.makeRoom(limit));
    connect();
    entries[6]->setState(connection_registry::state::busy);
    BOOST_TEST((closed == std::vector{ 1, 2, 0 }));
    BOOST_TEST(!registry.makeRoom(limit));
    entries.clear();
    BOOST_TEST(registry.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
