#include "marjoramloom/core/hash.h"
#include "support/fleet.h"

#include <atomic>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <mutex>
#include <thread>

using namespace marjoramloom::test;

namespace {

constexpr auto tokensPerRequest = 40;

/// Callers that each send their next request when the previous one has ended.
class closed_loop_callers
{
public:
    explicit closed_loop_callers(fleet &testFleet)
        : m_fleet(testFleet)
    {
    }

    /// Starts \p count callers of \p account at a router.
    auto start(const std::string &account, std::size_t router, int count) -> void
    {
        for (auto caller = 0; caller < count; ++caller) {
            m_callers.emplace_back([this, account, router] { run(account, router); });
        }
    }

    auto stop() -> void
    {
        m_stopped = true;
        for (auto &caller : m_callers) {
            caller.join();
        }
    }

    /// Number of responses to \p account with \p status.
    auto answers(const std::string &account, unsigned status) -> int
    {
        const auto guard = std::lock_guard(m_mutex);
        return m_answers[{ account, status }];
    }

    /// Number of failed responses that do not state that the request was not run.
    [[nodiscard]] auto unmarkedFailures() const -> int
    {
        return m_unmarkedFailures;
    }

    /// Status, error and body of these responses. Precondition: stop() was called.
    [[nodiscard]] auto unmarkedFailureText() const -> const std::string &
    {
        return m_unmarkedFailureText;
    }

private:
    auto run(const std::string &account, std::size_t router) -> void
    {
        const auto prompt = "for " + account + " tokens=" + std::to_string(tokensPerRequest);
        while (!m_stopped) {
            const auto answer = m_fleet.chat(m_fleet.routers()[router], account, prompt);
            if (answer.status != 200U) {
                m_unmarkedFailures += answer.headers.contains("x-not-run") ? 0 : 1;
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
            }
            const auto guard = std::lock_guard(m_mutex);
            if (answer.status != 200U && !answer.headers.contains("x-not-run")) {
                m_unmarkedFailureText += std::to_string(answer.status) + " " + answer.error + " " + answer.body + "; ";
            }
            ++m_answers[{ account, answer.status }];
        }
    }

    fleet &m_fleet;
    std::vector<std::thread> m_callers;
    std::atomic<bool> m_stopped = false;
    std::atomic<int> m_unmarkedFailures = 0;
    std::mutex m_mutex;
    std::string m_unmarkedFailureText;
    std::map<std::pair<std::string, unsigned>, int> m_answers;
};

/// Configuration object of an account, with its key and the settings \p settings.
auto accountObject(const std::string &name, const std::string &settings) -> std::string
{
    return "[[client_account]]\nname = \"" + name + "\"\nkey_hashes = [\"" + marjoramloom::sha256Hex("key-" + name)
        + "\"]\n" + settings + "\n";
}

/// The account of a request, read from its prompt.
auto accountOf(const std::string &body) -> std::string
{
    for (const auto *account : { "alpha", "beta" }) {
        if (body.find(std::string("for ") + account) != std::string::npos) {
            return account;
        }
    }
    return {};
}

/// Tokens that the engines have generated, by account, from the engines' own records.
auto executedTokens(fleet &testFleet) -> std::map<std::string, double>
{
    auto tokens = std::map<std::string, double>();
    for (auto &engine : testFleet.engines()) {
        for (const auto &entry : engine->record()) {
            if (entry.at("state").as_string() != "started") {
                tokens[accountOf(std::string(entry.at("body").as_string()))] += entry.at("tokens").to_number<double>();
            }
        }
    }
    return tokens;
}

} // namespace

BOOST_AUTO_TEST_SUITE(weighted_share_test)

/// Two accounts with equal demand, one with three times the weight, send requests through two routers of a data centre.
BOOST_AUTO_TEST_CASE(engines_execute_tokens_in_proportion_to_weights)
{
    auto plan = fleet_plan();
    plan.dataCentres = { "north" };
    plan.routersPerDataCentre = 2;
    plan.enginesPerDataCentre = 1;
    plan.slots = 6;
    plan.tokenMs = 3;
    auto testFleet = fleet(plan);
    BOOST_REQUIRE(testFleet.apply(testFleet.routers().front(), accountObject("beta", "weight = 3.0")) == 0);
    // Afterwards the weight applies everywhere and the dispatcher's warm-up is over.
    std::this_thread::sleep_for(std::chrono::seconds(3));
    auto callers = closed_loop_callers(testFleet);
    for (auto router = std::size_t(0); router < 2; ++router) {
        callers.start("alpha", router, 10);
        callers.start("beta", router, 10);
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const auto before = executedTokens(testFleet);
    std::this_thread::sleep_for(std::chrono::seconds(6));
    const auto after = executedTokens(testFleet);
    callers.stop();
    const auto alpha = after.at("alpha") - before.at("alpha");
    const auto beta = after.at("beta") - before.at("beta");
    BOOST_TEST_MESSAGE("tokens executed: alpha " << alpha << " beta " << beta);
    // The gap may reach the cost in flight on 6 slots plus the pull threshold: a tenth of the executed tokens.
    BOOST_TEST(beta / 3 - alpha < 0.1 * (alpha + beta));
    BOOST_TEST(alpha - beta / 3 < 0.1 * (alpha + beta));
}

/// Forty callers of one account compete with four of another: only requests of the flooding account may be refused, and
/// the other account must get its share.
BOOST_AUTO_TEST_CASE(only_requests_of_a_flooding_account_are_refused)
{
    auto plan = fleet_plan();
    plan.dataCentres = { "north" };
    plan.routersPerDataCentre = 2;
    plan.enginesPerDataCentre = 1;
    plan.slots = 2;
    plan.tokenMs = 3;
    auto testFleet = fleet(plan);
    BOOST_REQUIRE(testFleet.apply(testFleet.routers().front(), accountObject("alpha", "queue_limit = 5")) == 0);
    std::this_thread::sleep_for(std::chrono::seconds(3));
    auto callers = closed_loop_callers(testFleet);
    callers.start("alpha", 0, 20);
    callers.start("alpha", 1, 20);
    callers.start("beta", 0, 2);
    callers.start("beta", 1, 2);
    std::this_thread::sleep_for(std::chrono::seconds(6));
    callers.stop();
    const auto executed = executedTokens(testFleet);
    BOOST_TEST_MESSAGE("tokens executed: alpha " << executed.at("alpha") << " beta " << executed.at("beta")
                                                 << ", alpha refused " << callers.answers("alpha", 429));
    BOOST_TEST(callers.answers("alpha", 429) > 0);
    BOOST_TEST(callers.answers("beta", 429) == 0);
    BOOST_TEST(callers.unmarkedFailures() == 0, callers.unmarkedFailureText());
    BOOST_TEST(executed.at("beta") >= 0.4 * (executed.at("alpha") + executed.at("beta")));
    const auto served = callers.answers("alpha", 200) + callers.answers("beta", 200);
    BOOST_TEST(executed.at("alpha") + executed.at("beta") == served * tokensPerRequest);
}

BOOST_AUTO_TEST_SUITE_END()
