#include "marjoramloom/gateway/knowledge/server_evidence.h"

#include "marjoramloom/gateway/knowledge/evidence_memory.h"
#include "marjoramloom/gateway/knowledge/server_directory.h"
#include "marjoramloom/gateway/knowledge/server_loads.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

constexpr auto now = time_point(100s);

auto entryOf(std::int64_t start, std::uint64_t revision, bool draining = false) -> listed_server
{
    auto entry = listed_server();
    entry.id = "a";
    entry.service = "desk";
    entry.address = "10.0.0.1:80";
    entry.startUnixMs = start;
    entry.revision = revision;
    entry.slots = static_cast<std::uint32_t>(revision); // Shows which entry counts.
    entry.draining = draining;
    return entry;
}

/// One piece of evidence: an entry, a removal or a statement of the server that it leaves.
struct piece
{
    enum class kind {
        entry,
        removal,
        statement,
    };
    kind what = kind::entry;
    std::int64_t start = 0;
    std::uint64_t revision = 0;
    bool draining = false;
};

auto entry(std::int64_t start, std::uint64_t revision, bool draining = false) -> piece
{
    return { piece::kind::entry, start, revision, draining };
}

auto removal(std::uint64_t revision) -> piece
{
    return { piece::kind::removal, 0, revision, false };
}

auto statement(std::int64_t start) -> piece
{
    return { piece::kind::statement, start, 0, false };
}

/// What a directory shows of the server after \p pieces in this order.
struct shown_state
{
    std::int64_t start = 0; ///< 0 if it is not listed.
    std::uint32_t slots = 0;
    bool usable = false;

    auto operator==(const shown_state &) const -> bool = default;
};

auto stateAfter(const std::vector<piece> &pieces) -> shown_state
{
    auto directory = server_directory([](const listed_server &, std::string_view) {});
    for (const auto &each : pieces) {
        if (each.what == piece::kind::entry) {
            directory.put(entryOf(each.start, each.revision, each.draining), now);
        } else if (each.what == piece::kind::removal) {
            directory.remove("a", each.revision, now);
        } else {
            directory.noteLeaving(server_loads::incarnationId(entryOf(each.start, 0)), leaving_source::answer, now);
        }
    }
    auto shown = shown_state();
    for (const auto start : { 1, 2, 3 }) {
        if (directory.isListed(entryOf(start, 0))) {
            shown.start = start;
        }
    }
    if (const auto &usable = directory.usable("desk"); !usable.empty()) {
        shown.usable = true;
        shown.slots = usable.front()->slots;
    }
    return shown;
}

/// The same by the rules: the latest start counts, then the largest revision; removals cover smaller revisions.
auto expectedState(const std::vector<piece> &pieces) -> shown_state
{
    auto newest = piece();
    auto removed = std::uint64_t(0);
    for (const auto &each : pieces) {
        const auto isNewer = std::pair(each.start, each.revision) > std::pair(newest.start, newest.revision);
        newest = each.what == piece::kind::entry && isNewer ? each : newest;
        removed = each.what == piece::kind::removal ? std::max(removed, each.revision) : removed;
    }
    const auto isLeaving = std::any_of(pieces.begin(), pieces.end(), [&](const piece &each) {
        return each.start == newest.start && (each.draining || each.what == piece::kind::statement);
    });
    const auto isListed = newest.revision > removed;
    const auto isUsable = isListed && !isLeaving;
    return { .start = isListed ? newest.start : 0,
             .slots = isUsable ? static_cast<std::uint32_t>(newest.revision) : 0,
             .usable = isUsable };
}

auto allPieces() -> std::vector<piece>
{
    return { entry(1, 1),       entry(1, 2, true), entry(1, 6),  entry(2, 3),        entry(2, 4),
             entry(2, 7, true), entry(3, 5),       entry(3, 9),  entry(3, 11, true), removal(4),
             removal(8),        removal(12),       statement(1), statement(2),       statement(3) };
}

} // namespace

BOOST_AUTO_TEST_SUITE(server_evidence_test)

BOOST_AUTO_TEST_CASE(every_pair_of_evidence_ends_in_the_same_state_in_both_orders)
{
    for (const auto &first : allPieces()) {
        for (const auto &second : allPieces()) {
            BOOST_TEST((stateAfter({ first, second }) == expectedState({ first, second })));
            BOOST_TEST((stateAfter({ second, first }) == expectedState({ first, second })));
        }
    }
}

BOOST_AUTO_TEST_CASE(random_sets_of_evidence_end_in_the_same_state_in_every_order)
{
    auto random = std::mt19937(5);
    for (auto round = 0; round < 3'000; ++round) {
        auto pieces = allPieces();
        std::shuffle(pieces.begin(), pieces.end(), random);
        pieces.resize(2 + random() % (pieces.size() - 1));
        const auto expected = expectedState(pieces);
        for (auto order = 0; order < 8; ++order) {
            std::shuffle(pieces.begin(), pieces.end(), random);
            BOOST_REQUIRE((stateAfter(pieces) == expected));
        }
    }
}

BOOST_AUTO_TEST_CASE(a_late_entry_of_an_earlier_boot_brings_back_neither_a_leaving_nor_a_removed_server)
{
    BOOST_TEST(!stateAfter({ entry(1, 1), entry(2, 2), entry(2, 3, true), entry(1, 4) }).usable);
    BOOST_TEST(!stateAfter({ entry(1, 1), entry(2, 2), removal(3), entry(1, 4) }).usable);
    // A restart under the same id is another incarnation, also after a removal.
    BOOST_TEST(stateAfter({ entry(1, 1), entry(1, 2, true), entry(2, 3) }).usable);
    BOOST_TEST(stateAfter({ entry(1, 1, true), removal(2), entry(2, 3) }).usable);
}

BOOST_AUTO_TEST_CASE(a_whole_list_counts_like_its_entries_and_the_removals_of_the_others)
{
    auto directory = server_directory([](const listed_server &, std::string_view) {});
    directory.put(entryOf(2, 9), now);
    // The list is older than the entry, or has a late entry of an earlier boot.
    directory.replaceAll({}, 8, now);
    BOOST_TEST(directory.usable("desk").size() == 1U);
    directory.replaceAll({ entryOf(1, 10) }, 11, now);
    BOOST_REQUIRE(directory.usable("desk").size() == 1U);
    BOOST_TEST(directory.usable("desk").front()->startUnixMs == 2);
    directory.replaceAll({}, 12, now);
    BOOST_TEST(directory.size() == 0U);
    directory.replaceAll({ entryOf(1, 13) }, 14, now);
    BOOST_TEST(directory.size() == 0U);
}

/// Guards against a server that is never used again as its clock was set back before its restart.
BOOST_AUTO_TEST_CASE(a_server_that_keeps_writing_entries_of_an_earlier_start_is_used_again)
{
    auto evidence = server_evidence();
    BOOST_TEST(evidence.addEntry(entryOf(9, 1), now));
    BOOST_TEST(!evidence.addEntry(entryOf(5, 2), now));
    // The same entry in another list, and one that is soon after it, may be delayed writes.
    BOOST_TEST(!evidence.addEntry(entryOf(5, 2), now + 60s));
    BOOST_TEST(!evidence.addEntry(entryOf(5, 3), now + server_evidence::EARLIER_START_TIME - 1ms));
    BOOST_TEST(evidence.addEntry(entryOf(5, 4), now + server_evidence::EARLIER_START_TIME));
    BOOST_TEST(evidence.newest()->startUnixMs == 5);
    // While the newer incarnation writes, the earlier one is gone.
    auto alive = server_evidence();
    alive.addEntry(entryOf(9, 1), now);
    for (auto second = 1; second <= 40; ++second) {
        const auto revision = static_cast<std::uint64_t>(2 * second);
        BOOST_TEST(!alive.addEntry(entryOf(5, revision), now + std::chrono::seconds(second)));
        BOOST_TEST(alive.addEntry(entryOf(9, revision + 1), now + std::chrono::seconds(second)));
    }
}

BOOST_AUTO_TEST_CASE(evidence_about_removed_servers_is_bounded_in_time_and_number)
{
    auto memory = evidence_memory();
    memory.addEntry(entryOf(2, 1), now);
    BOOST_TEST(memory.addRemoval("a", 2, now));
    memory.tick(now + evidence_memory::MEMORY_TIME);
    BOOST_TEST(memory.size() == 1U);
    memory.tick(now + evidence_memory::MEMORY_TIME + 1ms);
    BOOST_TEST(memory.size() == 0U);
    memory.addEntry(entryOf(2, 3), now);
    for (auto number = std::uint64_t(0); number < 2 * evidence_memory::MAX_SERVERS; ++number) {
        memory.addRemoval("other-" + std::to_string(number), number, now + std::chrono::milliseconds(number));
    }
    BOOST_TEST(memory.size() == evidence_memory::MAX_SERVERS);
    memory.tick(now + 24h);
    BOOST_TEST(memory.isListed("a"));
}

BOOST_AUTO_TEST_SUITE_END()
