#include "support/gateway_fleet.h"

#include "marjoramloom/core/hash.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

using namespace marjoramloom::test;
using marjoramloom::hash64;

namespace {

auto fieldOf(const http_answer &answer, const char *name) -> std::string
{
    auto error = boost::system::error_code();
    const auto body = boost::json::parse(answer.body, error);
    const auto *value = error || !body.is_object() ? nullptr : body.get_object().if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

/// The whole stream as the stand-in sends it.
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

BOOST_AUTO_TEST_CASE(requests_pass_unchanged_and_keys_become_accounts)
{
    auto all = gateway_fleet();
    const auto &router = all.routers().front();
    const auto body = std::string(60'000, 'x');
    const auto answer = all.call(router, "/post/a/b?c=d", "r-1", "POST", "key-alpha", body);
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(answer.whole);
    BOOST_TEST(fieldOf(answer, "method") == "POST");
    BOOST_TEST(fieldOf(answer, "path") == "/post/a/b");
    BOOST_TEST(fieldOf(answer, "body_hash") == std::to_string(hash64(body)));
    BOOST_TEST(fieldOf(answer, "account") == "alpha");
    BOOST_TEST(fieldOf(answer, "key").empty());
    BOOST_TEST(answer.headers.at("x-response-seal") == "seal-" + fieldOf(answer, "served_by"));
    const auto left = std::stoi(fieldOf(answer, "time_left"));
    BOOST_TEST((left > 2'000 && left <= 4'000));
    BOOST_TEST(all.call(router, "/post/", "r-2", "POST", "wrong").status == 401U);
    BOOST_TEST(all.call(router, "/post/", "r-3", "POST", "").status == 401U);
    BOOST_TEST(all.call(router, "/nowhere/", "r-4").status == 404U);
    BOOST_TEST(all.call(router, "/open/x", "r-5", "GET", "").status == 200U);
    BOOST_TEST(all.countRuns("r-1") == 1);
    BOOST_TEST(all.countRuns("r-2") + all.countRuns("r-3") + all.countRuns("r-4") == 0);
}

BOOST_AUTO_TEST_CASE(a_caller_cannot_set_what_only_the_router_says)
{
    auto all = gateway_fleet({ .routers = 1 });
    auto request = http_request();
    request.target = "/read/x";
    request.headers = { { "Host", "desk.example" },
                        { "X-Attempt-Id", "r-1" },
                        { "X-Tenant-Id", "beta" },
                        { "X-Cache-Hold", "h" },
                        { "X-Expect-Instance", "none" },
                        { "X-Custom", "kept" },
                        { "Authorization", "Bearer key-alpha" } };
    const auto answer = httpCall(all.routers().front().callers, request);
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(fieldOf(answer, "account") == "alpha");
    BOOST_TEST(fieldOf(answer, "hold").empty());
    BOOST_TEST(fieldOf(answer, "custom") == "kept");
}

BOOST_AUTO_TEST_CASE(a_broken_stream_goes_on_at_another_server_without_a_gap)
{
    auto all = gateway_fleet({ .routers = 1 });
    for (auto &server : all.servers()) {
        server->setFaults(R"([{"kind":"die","events":4,"count":1}])");
    }
    const auto &router = all.routers().front();
    // One of the two servers breaks off; the other would, too, but only once each.
    const auto first = all.call(router, "/talk/stream", "r-1");
    BOOST_TEST(first.status == 200U);
    BOOST_TEST(all.countRuns("r-1") == 2);
    // The limit of two servers is used up where both break off.
    BOOST_TEST(!first.whole);
    const auto second = all.call(router, "/talk/stream", "r-2");
    BOOST_TEST(second.whole);
    BOOST_TEST(second.body == wholeStream());
    all.servers().front()->setFaults(R"([{"kind":"die","events":3,"count":1}])");
    all.servers().back()->setFaults(R"([])");
    auto resumed = 0;
    for (auto call = 0; call < 6 && resumed == 0; ++call) {
        const auto id = "again-" + std::to_string(call);
        const auto answer = all.call(router, "/talk/stream", id);
        BOOST_TEST(answer.whole);
        BOOST_TEST(answer.body == wholeStream());
        resumed += all.countRuns(id) - 1;
    }
    BOOST_TEST(resumed == 1);
}

BOOST_AUTO_TEST_CASE(a_stream_that_may_not_go_on_is_cut_and_never_looks_whole)
{
    auto all = gateway_fleet({ .routers = 1, .servers = 1 });
    all.servers().front()->setFaults(R"([{"kind":"die","events":4,"count":1}])");
    const auto answer = all.call(all.routers().front(), "/once/stream", "r-1");
    BOOST_TEST(!answer.whole);
    BOOST_TEST(all.countRuns("r-1") == 1);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_never_told_as_not_run)
{
    auto all = gateway_fleet({ .routers = 1 });
    const auto lost = R"([{"kind":"lose_answer","count":1}])";
    all.servers()[0]->setFaults(lost);
    all.servers()[1]->setFaults(lost);
    const auto &router = all.routers().front();
    const auto answer = all.call(router, "/post/x", "r-1", "POST");
    BOOST_TEST((answer.status == 502U || answer.status == 504U));
    BOOST_TEST(answer.headers.count("retry-after") == 0U);
    BOOST_TEST(all.countRuns("r-1") == 1);
    // What may be repeated is sent to the other server.
    const auto repeated = all.call(router, "/read/x", "r-2");
    BOOST_TEST(repeated.status == 200U);
}

BOOST_AUTO_TEST_CASE(a_server_that_refuses_did_not_run_it)
{
    auto all = gateway_fleet({ .routers = 1 });
    all.servers()[0]->setFaults(R"([{"kind":"refuse"}])");
    all.servers()[1]->setFaults(R"([{"kind":"refuse"}])");
    const auto &router = all.routers().front();
    const auto answer = all.call(router, "/post/x", "r-1", "POST");
    BOOST_TEST((answer.status == 429U || answer.status == 503U));
    BOOST_TEST(std::stod(answer.headers.at("retry-after")) > 0);
    BOOST_TEST(all.countRuns("r-1") == 0);
    all.servers()[1]->setFaults("[]");
    for (auto call = 0; call < 4; ++call) {
        BOOST_TEST(all.call(router, "/read/x", "again-" + std::to_string(call)).status == 200U);
    }
}

BOOST_AUTO_TEST_CASE(a_leaving_server_and_one_with_an_unreadable_entry_get_nothing_new)
{
    auto all = gateway_fleet({ .routers = 2 });
    all.writeServer(0, "draining");
    all.writeObject("servers", "junk", boost::json::object{ { "service", 5 } });
    all.writeObject("servers", "server-x", "not an entry");
    sleepMs(300);
    for (auto call = 0; call < 10; ++call) {
        const auto answer =
            all.call(all.routers()[static_cast<std::size_t>(call % 2)], "/read/x", std::to_string(call));
        BOOST_TEST(fieldOf(answer, "served_by") == "server-1");
    }
}

BOOST_AUTO_TEST_CASE(a_revoked_key_is_refused_everywhere_also_without_the_store)
{
    auto all = gateway_fleet({ .routers = 2, .revocationMs = 2'500 });
    all.writeConfiguration({ "key-new" });
    sleepMs(300);
    for (const auto &router : all.routers()) {
        BOOST_TEST(all.call(router, "/read/x", "old-" + router.name).status == 401U);
        BOOST_TEST(all.call(router, "/read/x", "new-" + router.name, "GET", "key-new").status == 200U);
    }
    // Without the store a key may be taken away unseen: nothing keyed is served once the last proof is too old.
    all.store().setFaults(R"([{"kind":"outage"}])");
    sleepMs(2'600);
    for (const auto &router : all.routers()) {
        const auto answer = all.call(router, "/read/x", "away-" + router.name, "GET", "key-new");
        BOOST_TEST(answer.status == 503U);
        BOOST_TEST(all.countRuns("away-" + router.name) == 0);
        BOOST_TEST(all.call(router, "/open/x", "open-" + router.name, "GET", "").status == 200U);
        BOOST_TEST(!all.isReady(router));
    }
    all.store().setFaults("[]");
    BOOST_TEST(waitUntil(5'000, [&] { return all.isReady(all.routers()[0]) && all.isReady(all.routers()[1]); }));
    BOOST_TEST(all.call(all.routers()[0], "/read/x", "back", "GET", "key-new").status == 200U);
}

BOOST_AUTO_TEST_CASE(short_lived_keys_are_proved_often_enough)
{
    auto all = gateway_fleet({ .routers = 1, .revocationMs = 2'500 });
    for (auto look = 0; look < 40; ++look) {
        BOOST_TEST(all.isReady(all.routers().front()));
        sleepMs(100);
    }
}

BOOST_AUTO_TEST_CASE(long_lived_keys_do_not_make_a_quiet_store_look_away)
{
    auto all = gateway_fleet({ .routers = 1, .revocationMs = 30'000 });
    const auto &router = all.routers().front();
    sleepMs(4'000);
    BOOST_TEST(all.logOf(router).find("event=store_lost") == std::string::npos);
    // A removed entry is that of a server that left, not one that lapsed in an outage.
    httpCall(all.store().address(), { "DELETE", "/v1/objects/servers/server-0", {}, "" });
    sleepMs(500);
    const auto before = all.servers()[0]->record().size();
    for (auto call = 0; call < 10; ++call) {
        BOOST_TEST(all.call(router, "/read/x", "removed-" + std::to_string(call)).status == 200U);
    }
    BOOST_TEST(all.servers()[0]->record().size() == before);
}

BOOST_AUTO_TEST_CASE(an_unreadable_configuration_leaves_the_old_one_until_its_keys_are_no_longer_proved)
{
    auto all = gateway_fleet({ .routers = 1, .revocationMs = 2'500 });
    const auto &router = all.routers().front();
    all.writeObject("config", "main", boost::json::object{ { "version", "many" } });
    sleepMs(300);
    BOOST_TEST(all.call(router, "/read/x", "old").status == 200U);
    sleepMs(2'600);
    BOOST_TEST(all.call(router, "/read/x", "unproved").status == 503U);
    BOOST_TEST(all.call(router, "/open/x", "open", "GET", "").status == 200U);
    all.writeConfiguration({ "key-alpha" });
    sleepMs(300);
    BOOST_TEST(all.call(router, "/read/x", "again").status == 200U);
}

BOOST_AUTO_TEST_CASE(a_paused_router_proves_its_keys_anew_before_it_serves)
{
    auto all = gateway_fleet({ .routers = 1, .revocationMs = 2'500 });
    auto &router = all.routers().front();
    router.process->signal(SIGSTOP);
    all.writeConfiguration({ "key-new" });
    sleepMs(2'600);
    auto status = 0U;
    auto caller = std::thread([&] { status = all.call(router, "/read/x", "woken").status; });
    sleepMs(100);
    router.process->signal(SIGCONT);
    caller.join();
    BOOST_TEST((status == 503U || status == 401U));
    BOOST_TEST(all.countRuns("woken") == 0);
}

BOOST_AUTO_TEST_CASE(a_stop_finishes_what_runs_and_a_reload_changes_nothing)
{
    auto all = gateway_fleet({ .routers = 1, .eventMs = 150 });
    auto &router = all.routers().front();
    router.process->signal(SIGHUP);
    sleepMs(200);
    BOOST_TEST(all.call(router, "/read/x", "after-reload").status == 200U);
    auto answer = http_answer();
    auto caller = std::thread([&] { answer = all.call(router, "/talk/stream", "r-1"); });
    sleepMs(300);
    router.process->signal(SIGTERM);
    sleepMs(100);
    BOOST_TEST(!all.isReady(router));
    BOOST_TEST(all.call(router, "/read/x", "still-served").status == 200U);
    caller.join();
    BOOST_TEST(answer.whole);
    BOOST_TEST(answer.body == wholeStream());
    BOOST_TEST(router.process->waitForExit(8'000).value_or(-1) == 0);
    const auto log = all.logOf(router);
    for (const auto *event : { "event=started", "event=reload", "event=stop_begins", "event=stopped" }) {
        BOOST_TEST(log.find(event) != std::string::npos, event);
    }
}

BOOST_AUTO_TEST_CASE(a_paused_or_killed_dispatcher_delays_nobody_for_long)
{
    auto all = gateway_fleet({ .routers = 3 });
    sleepMs(600); // Until the routers have heard of each other.
    for (auto &paused : all.routers()) {
        paused.process->signal(SIGSTOP);
        for (const auto &router : all.routers()) {
            if (router.name == paused.name) {
                continue;
            }
            for (auto call = 0; call < 4; ++call) {
                const auto began = std::chrono::steady_clock::now();
                const auto id = paused.name + router.name + std::to_string(call);
                const auto answer = all.call(router, "/talk/stream", id);
                const auto took = std::chrono::steady_clock::now() - began;
                BOOST_TEST(answer.body == wholeStream());
                BOOST_TEST(all.countRuns(id) == 1);
                // Twelve events of 5 ms, and a wait for the dispatcher that stays far below an objective.
                BOOST_TEST((took < std::chrono::milliseconds(500)));
            }
        }
        paused.process->signal(SIGCONT);
    }
    all.routers()[0].process->signal(SIGKILL);
    BOOST_TEST(all.call(all.routers()[1], "/talk/stream", "after-kill").body == wholeStream());
}

BOOST_AUTO_TEST_CASE(a_request_whose_caller_left_before_it_was_read_is_not_sent_on)
{
    auto all = gateway_fleet({ .routers = 1 });
    auto &router = all.routers().front();
    // Kept connections to the servers: a request could be sent on at once.
    auto warming = std::vector<std::thread>();
    for (auto call = 0; call < 6; ++call) {
        warming.emplace_back([&all, &router, call] { all.call(router, "/read/x", "warm-" + std::to_string(call)); });
    }
    for (auto &call : warming) {
        call.join();
    }
    // The router is held up while callers send, wait and leave.
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
    BOOST_TEST(all.call(router, "/read/x", "present").status == 200U);
    sleepMs(300);
    for (auto caller = 0; caller < 5; ++caller) {
        BOOST_TEST(all.countRuns("late-" + std::to_string(caller)) == 0);
    }
}

BOOST_AUTO_TEST_CASE(a_router_that_was_held_up_takes_all_connections_and_tells_the_truth_of_each_request)
{
    auto all = gateway_fleet({ .routers = 1 });
    auto &router = all.routers().front();
    // Held up for longer than a caller's patience with a router, while callers keep coming.
    router.process->signal(SIGSTOP);
    constexpr auto callers = 12;
    auto statuses = std::vector<unsigned>(callers);
    auto calls = std::vector<std::thread>();
    for (auto caller = 0; caller < callers; ++caller) {
        calls.emplace_back([&, caller] {
            const auto index = static_cast<std::size_t>(caller);
            statuses[index] = all.call(router, "/read/x", "behind-" + std::to_string(caller)).status;
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
        // "Not run" is true.
        BOOST_TEST(all.countRuns("behind-" + std::to_string(caller)) == (status == 200 ? 1 : 0));
    }
    BOOST_TEST(waitUntil(3'000, [&] { return all.call(router, "/read/x", "afterwards").status == 200; }));
}

BOOST_AUTO_TEST_CASE(work_ends_where_its_caller_left)
{
    auto all = gateway_fleet({ .routers = 1, .servers = 1, .eventMs = 200 });
    auto request = http_request();
    request.target = "/once/stream";
    request.headers = { { "Host", "desk.example" },
                        { "X-Attempt-Id", "r-1" },
                        { "Authorization", "Bearer key-alpha" } };
    request.timeout = std::chrono::milliseconds(500);
    httpCall(all.routers().front().callers, request);
    BOOST_TEST(waitUntil(1'500, [&] { return all.countRuns("r-1", "cancelled") == 1; }));
    // That says nothing of the server.
    sleepMs(300);
    const auto log = all.logOf(all.routers().front());
    BOOST_TEST(log.find("end=caller_left") != std::string::npos);
    BOOST_TEST(log.find("event=server_failed") == std::string::npos);
    BOOST_TEST(log.find("event=handler_failed") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
