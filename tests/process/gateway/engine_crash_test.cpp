#include "support/gateway_fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

using namespace marjoramloom::test;

namespace {

/// Requests with a block that crashes engines that may reach engines: those of the first five crashes, and three more.
constexpr auto maxCrashingArrivals = 8;

constexpr auto sharedBlock = "a1:800";
constexpr auto crashingBlock = "dead:400";

/// Engines that break off all streams when they begin to answer a request whose id begins with "crash".
class crashing_fleet
{
public:
    crashing_fleet()
        : m_fleet(makePlan())
    {
        for (auto &server : m_fleet.servers()) {
            server->setFaults(R"([{"kind":"die","crash":true,"match":"crash"}])");
        }
    }

    auto fleet() -> gateway_fleet &
    {
        return m_fleet;
    }

    /// Sends a prompt with these prefix blocks, and a last one of its own.
    auto send(std::size_t router, const std::string &id, const std::string &blocks) -> http_answer
    {
        auto request = http_request();
        request.method = "POST";
        request.target = "/talk/stream";
        request.headers = { { "Host", "desk.example" },
                            { "X-Attempt-Id", id },
                            { "X-Deadline-Ms", "4000" },
                            { "X-Token-Usage", "1300,40" },
                            { "X-Prompt-Prefix", blocks + "," + std::to_string(++m_lastBlock) + ":100" },
                            { "Authorization", "Bearer key-alpha" } };
        return httpCall(m_fleet.routers()[router].callers, request);
    }

    /// Sends \p count prompts with the crashing block, each in a conversation of its own, to the routers in turn.
    /// Engines start again under a new incarnation after a crash. Returns how many of them reached engines.
    auto sendCrashing(int count) -> int
    {
        const auto before = arrivalsOf("crash");
        for (auto number = 0; number < count; ++number) {
            const auto router = static_cast<std::size_t>(m_sent) % m_fleet.routers().size();
            const auto conversation = "c" + std::to_string(++m_sent) + ":300";
            send(router, "crash-" + std::to_string(m_sent),
                 std::string(sharedBlock) + "," + conversation + "," + crashingBlock);
            restartEngines();
        }
        return arrivalsOf("crash") - before;
    }

    /// Number of requests whose ids begin with \p idPrefix that engines have received.
    auto arrivalsOf(const std::string &idPrefix) -> int
    {
        auto count = 0;
        for (const auto &server : m_fleet.servers()) {
            for (const auto &entry : server->record()) {
                const auto isStart = entry.at("state").as_string() == "started";
                count += isStart && entry.at("request_id").as_string().starts_with(idPrefix) ? 1 : 0;
            }
        }
        return count;
    }

private:
    static auto makePlan() -> gateway_plan
    {
        auto plan = gateway_plan();
        plan.routers = 3;
        plan.servers = 4;
        plan.retryReserve = 100;
        return plan;
    }

    auto restartEngines() -> void
    {
        ++m_incarnation;
        for (auto index = std::size_t(0); index < m_fleet.servers().size(); ++index) {
            m_fleet.writeServer(index, "ready", m_incarnation);
        }
        sleepMs(150);
    }

    gateway_fleet m_fleet;
    int m_sent = 0;
    int m_incarnation = 0;
    int m_lastBlock = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(engine_crash_test)

BOOST_AUTO_TEST_CASE(requests_with_a_block_that_crashes_engines_do_not_crash_one_engine_after_the_other)
{
    auto crashing = crashing_fleet();
    BOOST_TEST(crashing.sendCrashing(20) <= maxCrashingArrivals);
    // Requests that share the account and all other blocks are served by every router.
    for (auto number = 1; number <= 12; ++number) {
        const auto blocks = std::string(sharedBlock) + ",c" + std::to_string(number) + ":300";
        const auto answer =
            crashing.send(static_cast<std::size_t>(number) % 3, "sound-" + std::to_string(number), blocks);
        BOOST_TEST(answer.status == 200U);
        BOOST_TEST(answer.complete);
    }
}

BOOST_AUTO_TEST_CASE(a_router_that_starts_does_not_send_a_block_that_crashed_engines)
{
    auto crashing = crashing_fleet();
    crashing.sendCrashing(6);
    for (auto &router : crashing.fleet().routers()) {
        router.process->signal(SIGKILL);
        crashing.fleet().start(router);
        BOOST_TEST(crashing.sendCrashing(3) == 0);
    }
}

BOOST_AUTO_TEST_CASE(crashes_of_other_causes_keep_no_request_from_the_engines)
{
    auto crashing = crashing_fleet();
    constexpr auto crashes = 6;
    constexpr auto maxRequests = 120;
    const auto blocks = std::string(sharedBlock) + ",c1:300";
    auto &servers = crashing.fleet().servers();
    auto sent = 0;
    while (sent < maxRequests && crashing.arrivalsOf("sound") - sent < crashes) {
        for (auto index = std::size_t(0); index < servers.size(); ++index) {
            const auto isVictim = index == static_cast<std::size_t>(sent) % servers.size();
            servers[index]->setFaults(isVictim ? R"([{"kind":"die","crash":true,"count":1}])" : "[]");
        }
        const auto router = static_cast<std::size_t>(sent) % crashing.fleet().routers().size();
        const auto answer = crashing.send(router, "sound-" + std::to_string(++sent), blocks);
        BOOST_TEST(answer.status == 200U);
        BOOST_TEST(answer.complete);
    }
    BOOST_TEST(crashing.arrivalsOf("sound") - sent >= crashes);
}

BOOST_AUTO_TEST_SUITE_END()
