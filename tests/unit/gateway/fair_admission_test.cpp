#include "marjoramloom/gateway/decisions/engine_decision.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <queue>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

/// A kind of request: the length of its prompt, of which nothing is cached, and its latency objective.
struct request_kind
{
    std::uint32_t tokens = 0;
    duration objective{};
};

constexpr auto kinds =
    std::array{ request_kind{ 9'200, 500ms }, request_kind{ 2'400, 400ms }, request_kind{ 700, 300ms } };
constexpr std::uint64_t meanTokens = (9'200 + 2'400 + 700) / 3;

/// An account that asks for \p tokensPerSecond from \p from on, and for a tenth of it before.
struct account_demand
{
    std::uint64_t id = 0;
    double tokensPerSecond = 0;
    std::size_t from = 0;
};

struct account_second
{
    std::uint64_t asked = 0;
    std::uint64_t placed = 0;
    bool refused = false;
};

/// One dispatcher in front of 16 engines that prefill 50 tokens a millisecond each. Every request is placed by
/// decideEngine(); requests that are refused are not repeated.
class overload_simulation
{
public:
    overload_simulation()
    {
        auto content = route_table_content();
        content.version = 1;
        content.services = { { .name = "pool", .engine = engine_profile{ .slots = 64, .kvCapacityTokens = 300'000 } } };
        m_state.routes = std::make_shared<const route_table>(std::move(content));
        for (auto index = 0; index < ENGINES; ++index) {
            auto server = listed_server();
            server.id = "engine-" + std::to_string(index);
            server.service = "pool";
            server.address = "10.0.0.1:" + std::to_string(1'000 + index);
            server.slots = 64;
            m_state.servers.put(server, m_now);
        }
    }

    auto run(const std::vector<account_demand> &accounts, std::size_t seconds) -> void
    {
        m_seconds.assign(seconds, {});
        for (auto millisecond = std::size_t(0); millisecond < seconds * 1'000; ++millisecond) {
            m_now += 1ms;
            prefill();
            for (const auto &account : accounts) {
                const auto rate = account.tokensPerSecond * (millisecond / 1'000 < account.from ? 0.1 : 1.0);
                auto &due = m_due[account.id];
                for (due += rate / 1'000 / meanTokens; due >= 1; due -= 1) {
                    request(account.id, m_seconds[millisecond / 1'000][account.id]);
                }
            }
        }
    }

    /// Whether \p account was refused in each of the six seconds from \p first on and got less than half of what it
    /// asked for, or of what the account that got most did, whichever is less, second by second.
    [[nodiscard]] auto isShareMissed(std::uint64_t account, std::size_t first) const -> bool
    {
        constexpr std::size_t length = 6;
        auto owed = std::uint64_t(0);
        auto got = std::uint64_t(0);
        for (auto second = first; second < first + length; ++second) {
            auto most = std::uint64_t(0);
            for (const auto &[id, sums] : m_seconds[second]) {
                most = std::max(most, sums.placed);
            }
            const auto &own = m_seconds[second].at(account);
            if (!own.refused) {
                return false;
            }
            owed += std::min(own.asked, most);
            got += own.placed;
        }
        return 2 * got < owed;
    }

    [[nodiscard]] auto placedFraction(std::uint64_t account, std::size_t first, std::size_t last) const -> double
    {
        auto asked = std::uint64_t(0);
        auto placed = std::uint64_t(0);
        for (auto second = first; second < last; ++second) {
            asked += m_seconds[second].at(account).asked;
            placed += m_seconds[second].at(account).placed;
        }
        return static_cast<double>(placed) / static_cast<double>(asked);
    }

    /// Tokens placed a second, as a fraction of what the engines can prefill.
    [[nodiscard]] auto engineUse(std::size_t first, std::size_t last) const -> double
    {
        auto placed = std::uint64_t(0);
        for (auto second = first; second < last; ++second) {
            for (const auto &[id, sums] : m_seconds[second]) {
                placed += sums.placed;
            }
        }
        return static_cast<double>(placed) / static_cast<double>(last - first) / (ENGINES * TOKENS_PER_MS * 1'000);
    }

private:
    static constexpr int ENGINES = 16;
    static constexpr std::uint64_t TOKENS_PER_MS = 50;

    auto prefill() -> void
    {
        for (const auto &server : m_state.servers.usable("pool")) {
            auto &pending = m_state.loads.at(*server).pendingPrefillTokens;
            pending -= std::min<std::uint64_t>(pending, TOKENS_PER_MS);
        }
    }

    auto request(std::uint64_t account, account_second &sums) -> void
    {
        const auto &kind = kinds.at(m_state.random() % kinds.size());
        auto query = placement_query();
        query.service = "pool";
        query.prompt.parts = { prefix_block{ .id = m_state.random(), .tokens = kind.tokens } };
        query.prompt.promptTokens = kind.tokens;
        query.account = account;
        query.objective = kind.objective;
        auto why = last_reason();
        const auto decision = decideEngine(m_state, query, m_now, why);
        sums.asked += kind.tokens;
        if (!decision || !decision->chosen) {
            sums.refused = true;
            return;
        }
        sums.placed += kind.tokens;
        m_state.loads.at(*decision->chosen->server).pendingPrefillTokens += kind.tokens;
        m_state.accounts.noteStarted(account, kind.tokens, m_now);
    }

    time_point m_now{ 1'700'000'000s };
    counter_registry m_counters;
    gateway_state m_state{ gateway_settings(), { "10.0.0.1:7400", "north", 1 }, m_counters, 1 };
    std::map<std::uint64_t, double> m_due;
    std::vector<std::map<std::uint64_t, account_second>> m_seconds;
};

constexpr std::uint64_t mediumAccount = 50;
constexpr std::uint64_t smallAccount = 60;

/// Accounts that ask for almost five times what the engines can prefill, 800,000 tokens a second.
auto overload() -> std::vector<account_demand>
{
    auto accounts = std::vector<account_demand>{
        { 1, 1'100'000 },           { 2, 930'000 }, { 3, 640'000 }, { 4, 310'000 }, { 5, 285'000 }, { 6, 126'000 },
        { mediumAccount, 210'000 }, { 7, 44'000 },  { 8, 40'000 }
    };
    for (auto id = smallAccount; id < smallAccount + 30; ++id) {
        accounts.push_back({ id, 5'000 });
    }
    return accounts;
}

/// Of the 800,000 tokens the seven accounts that ask for more than this get what the others leave, in equal parts.
constexpr double maxMinLevel = (800'000 - 44'000 - 40'000 - 30 * 5'000) / 7.0;

} // namespace

BOOST_AUTO_TEST_SUITE(fair_admission_test)

BOOST_AUTO_TEST_CASE(a_medium_account_gets_its_max_min_share_beside_accounts_that_ask_for_several_times_as_much)
{
    auto simulation = overload_simulation();
    simulation.run(overload(), 14);
    for (const auto &account : overload()) {
        BOOST_TEST_CONTEXT("account " << account.id)
        {
            BOOST_TEST(!simulation.isShareMissed(account.id, 2));
            BOOST_TEST(!simulation.isShareMissed(account.id, 8));
            BOOST_TEST(simulation.placedFraction(account.id, 2, 14) * account.tokensPerSecond
                       > 0.8 * std::min(account.tokensPerSecond, maxMinLevel));
        }
    }
    BOOST_TEST(simulation.engineUse(2, 14) > 0.95);
}

BOOST_AUTO_TEST_CASE(an_account_whose_demand_grows_tenfold_in_an_overload_gets_its_max_min_share)
{
    auto accounts = overload();
    accounts[6].from = 7;
    auto simulation = overload_simulation();
    simulation.run(accounts, 14);
    BOOST_TEST(!simulation.isShareMissed(mediumAccount, 7));
    BOOST_TEST(simulation.placedFraction(mediumAccount, 7, 9) * accounts[6].tokensPerSecond > 0.8 * maxMinLevel);
    BOOST_TEST(simulation.engineUse(2, 14) > 0.95);
}

BOOST_AUTO_TEST_CASE(large_accounts_get_equal_amounts_in_an_overload_whatever_they_ask_for)
{
    auto simulation = overload_simulation();
    simulation.run(overload(), 14);
    const auto first = simulation.placedFraction(1, 2, 14) * 1'100'000;
    const auto third = simulation.placedFraction(3, 2, 14) * 640'000;
    BOOST_TEST(first / third < 1.25);
    BOOST_TEST(third / first < 1.25);
}

BOOST_AUTO_TEST_SUITE_END()
