#include "support/gateway_fleet.h"
#include "support/keep_alive_client.h"

#include "marjoramloom/core/hash.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <set>
#include <thread>

using namespace marjoramloom::test;
using marjoramloom::hash64;

namespace {

/// The text in the field \p name of an answer's JSON body; empty if there is none.
auto fieldOf(const http_answer &answer, const char *name) -> std::string
{
    auto error = boost::system::error_code();
    const auto body = boost::json::parse(answer.body, error);
    const auto *value = error || !body.is_object() ? nullptr : body.get_object().if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

/// The complete stream as the stand-in of a backend server sends it.
auto wholeStream() -> std::string
{
    auto text = std::string();
    for (auto number = 1; number <= 12; ++number) {
        text += "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_path_test)

BOOST_AUTO_TEST_CASE(requests_are_forwarded_unchanged_and_keys_are_mapped_to_accounts)
{
    auto fleet = gateway_fleet();
    const auto &router = fleet.routers().front();
    const auto body = std::string(60'000, 'x');
    const auto answer = fleet.call(router, "/post/a/b?c=d", "r-1", "POST", "key-alpha", body);
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(answer.complete);
    BOOST_TEST(fieldOf(answer, "method") == "POST");
    BOOST_TEST(fieldOf(answer, "path") == "/post/a/b");
    BOOST_TEST(fieldOf(answer, "body_hash") == std::to_string(hash64(body)));
    BOOST_TEST(fieldOf(answer, "account") == "alpha");
    BOOST_TEST(fieldOf(answer, "key").empty());
    BOOST_TEST(answer.headers.at("x-response-seal") == "seal-" + fieldOf(answer, "served_by"));
    const auto remainingMs = std::stoi(fieldOf(answer, "time_left"));
    BOOST_TEST((remainingMs > 2'000 && remainingMs <= 4'000));
    BOOST_TEST(fleet.call(router, "/post/", "r-2", "POST", "wrong").status == 401U);
    BOOST_TEST(fleet.call(router, "/post/", "r-3", "POST", "").status == 401U);
    BOOST_TEST(fleet.call(router, "/nowhere/", "r-4").status == 404U);
    BOOST_TEST(fleet.call(router, "/open/x", "r-5", "GET", "").status == 200U);
    BOOST_TEST(fleet.countExecutions("r-1") == 1);
    BOOST_TEST(fleet.countExecutions("r-2") + fleet.countExecutions("r-3") + fleet.countExecutions("r-4") == 0);
}

BOOST_AUTO_TEST_CASE(a_caller_cannot_set_the_headers_of_the_router)
{
    auto fleet = gateway_fleet({ .routers = 1 });
    auto request = http_request();
    request.target = "/read/x";
    request.headers = { { "Host", "desk.example" },
                        { "X-Attempt-Id", "r-1" },
                        { "X-Tenant-Id", "beta" },
                        { "X-Cache-Hold", "h" },
                        { "X-Expect-Instance", "none" },
                        { "X-Custom", "kept" },
                        { "Authorization", "Bearer key-alpha" } };
    const auto answer = httpCall(fleet.routers().front().callers, request);
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(fieldOf(answer, "account") == "alpha");
    BOOST_TEST(fieldOf(answer, "hold").empty());
    BOOST_TEST(fieldOf(answer, "custom") == "kept");
}

BOOST_AUTO_TEST_CASE(a_stream_that_breaks_off_is_resumed_at_another_server_without_a_gap)
{
    auto fleet = gateway_fleet({ .routers = 1 });
    for (auto &server : fleet.servers()) {
        server->setFaults(R"([{"kind":"die","events":4,"count":1}])");
    }
    const auto &router = fleet.routers().front();
    // Each server breaks off one stream, so the first attempt and the retry fail.
    const auto first = fleet.call(router, "/talk/stream", "r-1");
    BOOST_TEST(first.status == 200U);
    BOOST_TEST(fleet.countExecutions("r-1") == 2);
    // The route allows two attempts.
    BOOST_TEST(!first.complete);
    const auto second = fleet.call(router, "/talk/stream", "r-2");
    BOOST_TEST(second.complete);
    BOOST_TEST(second.body == wholeStream());
    fleet.servers().front()->setFaults(R"([{"kind":"die","events":3,"count":1}])");
    fleet.servers().back()->setFaults(R"([])");
    auto resumed = 0;
    for (auto call = 0; call < 6 && resumed == 0; ++call) {
        const auto id = "again-" + std::to_string(call);
        const auto answer = fleet.call(router, "/talk/stream", id);
        BOOST_TEST(answer.complete);
        BOOST_TEST(answer.body == wholeStream());
        resumed += fleet.countExecutions(id) - 1;
    }
    BOOST_TEST(resumed == 1);
}

BOOST_AUTO_TEST_CASE(a_stream_that_must_not_be_resumed_is_truncated_and_does_not_look_complete)
{
    auto fleet = gateway_fleet({ .routers = 1, .servers = 1 });
    fleet.servers().front()->setFaults(R"([{"kind":"die","events":4,"count":1}])");
    const auto answer = fleet.call(fleet.routers().front(), "/once/stream", "r-1");
    BOOST_TEST(!answer.complete);
    BOOST_TEST(fleet.countExecutions("r-1") == 1);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_not_reported_as_not_executed)
{
    auto fleet = gateway_fleet({ .routers = 1 });
    const auto lost = R"([{"kind":"lose_answer","count":1}])";
    fleet.servers()[0]->setFaults(lost);
    fleet.servers()[1]->setFaults(lost);
    const auto &router = fleet.routers().front();
    const auto answer = fleet.call(router, "/post/x", "r-1", "POST");
    BOOST_TEST((answer.status == 502U || answer.status == 504U));
    BOOST_TEST(answer.headers.count("retry-after") == 0U);
    BOOST_TEST(fleet.countExecutions("r-1") == 1);
    // A request that may be executed several times is retried at the other server.
    const auto retried = fleet.call(router, "/read/x", "r-2");
    BOOST_TEST(retried.status == 200U);
}

BOOST_AUTO_TEST_CASE(a_request_that_all_servers_refuse_is_reported_as_not_executed)
{
    // Enough for a retry of each request: whether a server is still passed over as full depends on the time between
    // them.
    auto fleet = gateway_fleet({ .routers = 1, .retryReserve = 10 });
    fleet.servers()[0]->setFaults(R"([{"kind":"refuse"}])");
    fleet.servers()[1]->setFaults(R"([{"kind":"refuse"}])");
    const auto &router = fleet.routers().front();
    const auto answer = fleet.call(router, "/post/x", "r-1", "POST");
    BOOST_TEST((answer.status == 429U || answer.status == 503U));
    BOOST_TEST(std::stod(answer.headers.at("retry-after")) > 0);
    BOOST_TEST(fleet.countExecutions("r-1") == 0);
    fleet.servers()[1]->setFaults("[]");
    for (auto call = 0; call < 4; ++call) {
        BOOST_TEST(fleet.call(router, "/read/x", "again-" + std::to_string(call)).status == 200U);
    }
}

BOOST_AUTO_TEST_CASE(a_draining_server_and_one_with_an_invalid_entry_get_no_new_requests)
{
    auto fleet = gateway_fleet({ .routers = 2 });
    fleet.writeServer(0, "draining");
    fleet.writeObject("servers", "junk", boost::json::object{ { "service", 5 } });
    fleet.writeObject("servers", "server-x", "not an entry");
    sleepMs(300);
    for (auto call = 0; call < 10; ++call) {
        const auto answer =
            fleet.call(fleet.routers()[static_cast<std::size_t>(call % 2)], "/read/x", std::to_string(call));
        BOOST_TEST(fieldOf(answer, "served_by") == "server-1");
    }
}

BOOST_AUTO_TEST_CASE(a_revoked_key_is_refused_by_all_routers_and_no_key_is_accepted_long_without_the_store)
{
    auto fleet = gateway_fleet({ .routers = 2, .revocationMs = 2'500 });
    fleet.writeConfiguration({ "key-new" });
    sleepMs(300);
    for (const auto &router : fleet.routers()) {
        BOOST_TEST(fleet.call(router, "/read/x", "old-" + router.name).status == 401U);
        BOOST_TEST(fleet.call(router, "/read/x", "new-" + router.name, "GET", "key-new").status == 200U);
    }
    // Without the store the routers cannot see that a key is revoked, so they refuse all keys once the last validation
    // is too old.
    fleet.store().setFaults(R"([{"kind":"outage"}])");
    sleepMs(2'600);
    for (const auto &router : fleet.routers()) {
        const auto answer = fleet.call(router, "/read/x", "away-" + router.name, "GET", "key-new");
        BOOST_TEST(answer.status == 503U);
        BOOST_TEST(fleet.countExecutions("away-" + router.name) == 0);
        BOOST_TEST(fleet.call(router, "/open/x", "open-" + router.name, "GET", "").status == 200U);
        BOOST_TEST(!fleet.isReady(router));
    }
    fleet.store().setFaults("[]");
    BOOST_TEST(
        waitUntil(5'000, [&] { return fleet.isReady(fleet.routers()[0]) && fleet.isReady(fleet.routers()[1]); }));
    BOOST_TEST(fleet.call(fleet.routers()[0], "/read/x", "back", "GET", "key-new").status == 200U);
}

BOOST_AUTO_TEST_CASE(keys_with_a_short_lifetime_are_validated_in_time)
{
    auto fleet = gateway_fleet({ .routers = 1, .revocationMs = 2'500 });
    for (auto check = 0; check < 40; ++check) {
        BOOST_TEST(fleet.isReady(fleet.routers().front()));
        sleepMs(100);
    }
}

BOOST_AUTO_TEST_CASE(a_store_without_changes_does_not_count_as_lost_with_a_long_key_lifetime)
{
    auto fleet = gateway_fleet({ .routers = 1, .revocationMs = 30'000 });
    const auto &router = fleet.routers().front();
    sleepMs(4'000);
    BOOST_TEST(fleet.readLog(router).find("event=store_lost") == std::string::npos);
    // The entry was removed by its server; it did not expire during an outage of the store.
    httpCall(fleet.store().address(), { "DELETE", "/v1/objects/servers/server-0", {}, "" });
    sleepMs(500);
    const auto before = fleet.servers()[0]->record().size();
    for (auto call = 0; call < 10; ++call) {
        BOOST_TEST(fleet.call(router, "/read/x", "removed-" + std::to_string(call)).status == 200U);
    }
    BOOST_TEST(fleet.servers()[0]->record().size() == before);
}

BOOST_AUTO_TEST_CASE(after_an_invalid_configuration_the_old_one_stays_in_force_until_its_keys_need_validation)
{
    auto fleet = gateway_fleet({ .routers = 1, .revocationMs = 2'500 });
    const auto &router = fleet.routers().front();
    fleet.writeObject("config", "main", boost::json::object{ { "version", "many" } });
    sleepMs(300);
    BOOST_TEST(fleet.call(router, "/read/x", "old").status == 200U);
    sleepMs(2'600);
    BOOST_TEST(fleet.call(router, "/read/x", "unproved").status == 503U);
    BOOST_TEST(fleet.call(router, "/open/x", "open", "GET", "").status == 200U);
    fleet.writeConfiguration({ "key-alpha" });
    sleepMs(300);
    BOOST_TEST(fleet.call(router, "/read/x", "again").status == 200U);
}

BOOST_AUTO_TEST_CASE(a_resumed_router_validates_its_keys_before_it_accepts_them)
{
    auto fleet = gateway_fleet({ .routers = 1, .revocationMs = 2'500 });
    auto &router = fleet.routers().front();
    router.process->signal(SIGSTOP);
    fleet.writeConfiguration({ "key-new" });
    sleepMs(2'600);
    auto status = 0U;
    auto caller = std::thread([&] { status = fleet.call(router, "/read/x", "woken").status; });
    sleepMs(100);
    router.process->signal(SIGCONT);
    caller.join();
    BOOST_TEST((status == 503U || status == 401U));
    BOOST_TEST(fleet.countExecutions("woken") == 0);
}

BOOST_AUTO_TEST_CASE(running_requests_finish_during_a_stop_and_a_reload_does_not_disturb_requests)
{
    auto fleet = gateway_fleet({ .routers = 1, .eventMs = 150 });
    auto &router = fleet.routers().front();
    router.process->signal(SIGHUP);
    sleepMs(200);
    BOOST_TEST(fleet.call(router, "/read/x", "after-reload").status == 200U);
    auto answer = http_answer();
    auto caller = std::thread([&] { answer = fleet.call(router, "/talk/stream", "r-1"); });
    sleepMs(300);
    router.process->signal(SIGTERM);
    sleepMs(100);
    BOOST_TEST(!fleet.isReady(router));
    BOOST_TEST(fleet.call(router, "/read/x", "still-served").status == 200U);
    caller.join();
    BOOST_TEST(answer.complete);
    BOOST_TEST(answer.body == wholeStream());
    BOOST_TEST(router.process->waitForExit(8'000).value_or(-1) == 0);
    const auto log = fleet.readLog(router);
    for (const auto *event : { "event=started", "event=reload", "event=stop_begins", "event=stopped" }) {
        BOOST_TEST(log.find(event) != std::string::npos, event);
    }
}

BOOST_AUTO_TEST_CASE(requests_late_in_a_planned_stop_are_not_passed_on_and_then_cut)
{
    constexpr auto callers = 6;
    auto fleet = gateway_fleet({ .routers = 1, .callMs = 250 });
    auto &router = fleet.routers().front();
    auto answered = std::vector<std::set<std::string>>(callers);
    auto sent = std::vector<std::vector<std::string>>(callers);
    auto stopped = std::atomic<bool>(false);
    auto threads = std::vector<std::thread>();
    for (auto caller = std::size_t(0); caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            // Callers use their open connections, and new ones, until the process is gone.
            auto connection = keep_alive_client(router.callers);
            while (!stopped) {
                auto request = http_request();
                request.method = "POST";
                request.target = "/post/x";
                const auto id = std::to_string(caller) + "-" + std::to_string(sent[caller].size());
                request.headers = { { "Host", "desk.example" },
                                    { "X-Attempt-Id", id },
                                    { "X-Deadline-Ms", "4000" },
                                    { "Authorization", "Bearer key-alpha" } };
                sent[caller].push_back(id);
                if (connection.call(request).complete) {
                    answered[caller].insert(id);
                } else {
                    sleepMs(20);
                }
            }
        });
    }
    sleepMs(500);
    router.process->signal(SIGTERM);
    BOOST_TEST(router.process->waitForExit(9'000).value_or(-1) == 0);
    stopped = true;
    for (auto &thread : threads) {
        thread.join();
    }
    auto executed = std::set<std::string>();
    for (const auto &server : fleet.servers()) {
        for (const auto &entry : server->record()) {
            executed.insert(std::string(entry.at("request_id").as_string()));
        }
    }
    BOOST_TEST(executed.size() > callers);
    for (auto caller = std::size_t(0); caller < callers; ++caller) {
        for (const auto &id : sent[caller]) {
            BOOST_TEST((!executed.contains(id) || answered[caller].contains(id)), id);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_suspended_or_killed_dispatcher_does_not_delay_requests_for_long)
{
    auto fleet = gateway_fleet({ .routers = 3 });
    sleepMs(600); // The routers discover each other.
    for (auto &suspended : fleet.routers()) {
        suspended.process->signal(SIGSTOP);
        for (const auto &router : fleet.routers()) {
            if (router.name == suspended.name) {
                continue;
            }
            for (auto call = 0; call < 4; ++call) {
                const auto startedAt = std::chrono::steady_clock::now();
                const auto id = suspended.name + router.name + std::to_string(call);
                const auto answer = fleet.call(router, "/talk/stream", id);
                const auto elapsed = std::chrono::steady_clock::now() - startedAt;
                BOOST_TEST(answer.body == wholeStream());
                BOOST_TEST(fleet.countExecutions(id) == 1);
                // Twelve events at intervals of 5 ms, and a wait for the dispatcher that is far below the latency
                // objective.
                BOOST_TEST((elapsed < std::chrono::milliseconds(500)));
            }
        }
        suspended.process->signal(SIGCONT);
    }
    fleet.routers()[0].process->signal(SIGKILL);
    BOOST_TEST(fleet.call(fleet.routers()[1], "/talk/stream", "after-kill").body == wholeStream());
}

BOOST_AUTO_TEST_CASE(a_request_whose_caller_disconnected_before_it_was_read_is_not_forwarded)
{
    auto fleet = gateway_fleet({ .routers = 1 });
    auto &router = fleet.routers().front();
    // With idle connections to the servers the router could forward a request at once.
    auto warming = std::vector<std::thread>();
    for (auto call = 0; call < 6; ++call) {
        warming.emplace_back(
            [&fleet, &router, call] { fleet.call(router, "/read/x", "warm-" + std::to_string(call)); });
    }
    for (auto &call : warming) {
        call.join();
    }
    // The router is suspended while callers connect, send a request and disconnect.
    router.process->signal(SIGSTOP);
    for (auto caller = 0; caller < 5; ++caller) {
        auto request = http_request();
        request.target = "/read/x";
        request.headers = { { "Host", "desk.example" },
                            { "X-Attempt-Id", "late-" + std::to_string(caller) },
                            { "Authorization", "Bearer key-alpha" } };
        request.timeout = std::chrono::milliseconds(20);
        httpCall(router.callers, request);
    }
    router.process->signal(SIGCONT);
    BOOST_TEST(fleet.call(router, "/read/x", "present").status == 200U);
    sleepMs(300);
    for (auto caller = 0; caller < 5; ++caller) {
        BOOST_TEST(fleet.countExecutions("late-" + std::to_string(caller)) == 0);
    }
}

BOOST_AUTO_TEST_CASE(a_router_that_was_suspended_accepts_all_connections_and_reports_each_outcome_correctly)
{
    auto fleet = gateway_fleet({ .routers = 1 });
    auto &router = fleet.routers().front();
    // The router is suspended for longer than a caller waits for it, while further callers connect.
    router.process->signal(SIGSTOP);
    constexpr auto callers = 12;
    auto statuses = std::vector<unsigned>(callers);
    auto calls = std::vector<std::thread>();
    for (auto caller = 0; caller < callers; ++caller) {
        calls.emplace_back([&, caller] {
            const auto index = static_cast<std::size_t>(caller);
            statuses[index] = fleet.call(router, "/read/x", "behind-" + std::to_string(caller)).status;
        });
    }
    sleepMs(400);
    router.process->signal(SIGCONT);
    for (auto &call : calls) {
        call.join();
    }
    for (auto caller = 0; caller < callers; ++caller) {
        const auto status = statuses[static_cast<std::size_t>(caller)];
        BOOST_TEST((status == 200 || status == 503));
        // Status 503 states that the request was not executed.
        BOOST_TEST(fleet.countExecutions("behind-" + std::to_string(caller)) == (status == 200 ? 1 : 0));
    }
    BOOST_TEST(waitUntil(3'000, [&] { return fleet.call(router, "/read/x", "afterwards").status == 200; }));
}

BOOST_AUTO_TEST_CASE(a_request_is_cancelled_when_its_caller_disconnects)
{
    auto fleet = gateway_fleet({ .routers = 1, .servers = 1, .eventMs = 200 });
    auto request = http_request();
    request.target = "/once/stream";
    request.headers = { { "Host", "desk.example" },
                        { "X-Attempt-Id", "r-1" },
                        { "Authorization", "Bearer key-alpha" } };
    request.timeout = std::chrono::milliseconds(500);
    httpCall(fleet.routers().front().callers, request);
    BOOST_TEST(waitUntil(1'500, [&] { return fleet.countExecutions("r-1", "cancelled") == 1; }));
    // The disconnect is not counted as a failure of the server.
    sleepMs(300);
    const auto log = fleet.readLog(fleet.routers().front());
    BOOST_TEST(log.find("end=caller_left") != std::string::npos);
    BOOST_TEST(log.find("event=server_failed") == std::string::npos);
    BOOST_TEST(log.find("event=handler_failed") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
