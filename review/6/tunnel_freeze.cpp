// Plays a small deployment whose first router gets more new connections than it has processor time for, while another
// router of its zone stands still for four seconds at a time. Usage: tunnel_freeze RECORD; TROUBLE=0 omits the stops.
#include "support/gateway_fleet.h"

#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

using namespace marjoramloom::test;
namespace json = boost::json;
using steady = std::chrono::steady_clock;

namespace {

constexpr auto routeTimeoutMs = 800; // timeout_ms of the order routes.
constexpr auto deadlineMs = 1'500; // deadline of the order requests.
constexpr auto slackMs = 500; // CONFIG: "no final answer ... 0.5 s after it".
constexpr auto minUnanswered = 8; // CONFIG: "Eight or more of them, and over a quarter".
constexpr auto callers = 160;
constexpr auto requestsPerSecond = 450;
constexpr auto calmSeconds = 6; // Longer than stable_window_ms.
constexpr auto freezeSeconds = 4; // Longest node_freeze of the site file.
constexpr auto pauseSeconds = 5;
constexpr auto freezes = 3;

struct sent_request
{
    std::string id;
    double at = 0; // Seconds since the start of traffic.
    double tookMs = 0;
    unsigned status = 0;
    std::string end;
};

auto configuration() -> json::object
{
    return json::object{
        { "version", 2 },
        { "routes",
          json::array{ json::object{ { "name", "orders" },
                                     { "host", "desk.example" },
                                     { "path_prefix", "/post/" },
                                     { "route_kind", "non_idempotent" },
                                     { "service", "desk" },
                                     { "timeout_ms", routeTimeoutMs },
                                     { "slo_ms", 150 },
                                     { "max_attempts", 1 },
                                     { "anonymous", false },
                                     { "resumable", false },
                                     { "sticky", false },
                                     { "priority", 2 } } } },
        { "services", json::array{ json::object{ { "name", "desk" }, { "max_conns", 470 } } } },
        { "limits",
          json::object{ { "max_header_bytes", 16'384 },
                        { "max_body_bytes", 100'000 },
                        { "header_timeout_ms", 2'000 },
                        { "idle_timeout_ms", 5'000 } } },
        { "tenants",
          json::array{ json::object{ { "name", "alpha" }, { "api_keys", json::array{ "key-alpha" } } } } },
    };
}

auto secondsSince(steady::time_point start) -> double
{
    return std::chrono::duration<double>(steady::now() - start).count();
}

auto play(const std::string &recordFile) -> int
{
    const auto *setting = std::getenv("TROUBLE");
    const auto hasTrouble = setting == nullptr || std::string(setting) != "0";
    // Machines and order servers as in the site file: 0.12 to 0.5 of a core; 6 slots, a queue of 24, 30 ms of work.
    auto fleet = gateway_fleet(
        { .routers = 3, .servers = 3, .callMs = 30, .callSlots = 6, .callQueue = 24, .cores = { 0.12, 0.5, 0.5 } });
    if (!fleet.writeObject("config", "main", configuration())) {
        return 2;
    }
    auto &routers = fleet.routers();
    sleepMs(calmSeconds * 1'000);

    auto requests = std::vector<sent_request>();
    auto requestsMutex = std::mutex();
    auto stopping = std::atomic<bool>(false);
    const auto start = steady::now();
    auto threads = std::vector<std::thread>();
    for (auto caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            const auto period = std::chrono::microseconds(1'000'000LL * callers / requestsPerSecond);
            auto next = start + period * caller / callers;
            for (auto number = 0; !stopping; ++number) {
                std::this_thread::sleep_until(next);
                next = std::max(next + period, steady::now());
                auto sent = sent_request{ .id = "c" + std::to_string(caller) + "-" + std::to_string(number),
                                          .at = secondsSince(start) };
                auto request = http_request();
                request.method = "POST";
                request.target = "/post/order";
                request.headers = { { "Host", "desk.example" },
                                    { "X-Attempt-Id", sent.id },
                                    { "X-Deadline-Ms", std::to_string(deadlineMs) },
                                    { "Authorization", "Bearer key-alpha" } };
                request.body = std::string(600, 'x');
                request.timeout = std::chrono::milliseconds(deadlineMs);
                const auto began = steady::now();
                const auto answer = httpCall(routers.front().callers, request);
                sent.tookMs = std::chrono::duration<double, std::milli>(steady::now() - began).count();
                sent.status = answer.complete ? answer.status : 0;
                sent.end = answer.complete ? "answer" : answer.error;
                const auto lock = std::lock_guard(requestsMutex);
                requests.push_back(std::move(sent));
            }
        });
    }
    auto record = std::ofstream(recordFile);
    sleepMs(calmSeconds * 1'000);
    for (auto freeze = 0; freeze < freezes; ++freeze) {
        auto &frozen = routers[1 + static_cast<std::size_t>(freeze) % 2];
        if (hasTrouble) {
            record << secondsSince(start) << " s: " << frozen.name << " stands still\n";
            frozen.process->signal(SIGSTOP);
        }
        sleepMs(freezeSeconds * 1'000);
        if (hasTrouble) {
            frozen.process->signal(SIGCONT);
            record << secondsSince(start) << " s: " << frozen.name << " goes on\n";
        }
        sleepMs(pauseSeconds * 1'000);
    }
    stopping = true;
    for (auto &thread : threads) {
        thread.join();
    }

    auto late = 0;
    auto unanswered = 0;
    auto unansweredRun = 0;
    auto answered = 0;
    auto started = std::map<std::string, std::string>(); // Servers by request.
    for (const auto &server : fleet.servers()) {
        for (const auto &entry : server->record()) {
            if (entry.at("state").as_string() == "started") {
                started[std::string(entry.at("request_id").as_string())] += server->name() + " ";
            }
        }
    }
    for (const auto &sent : requests) {
        answered += sent.status != 0 ? 1 : 0;
        if (sent.tookMs < routeTimeoutMs) {
            continue;
        }
        ++late;
        const auto isUnanswered = sent.tookMs >= routeTimeoutMs + slackMs;
        unanswered += isUnanswered ? 1 : 0;
        unansweredRun += isUnanswered && started.contains(sent.id) ? 1 : 0;
        record << sent.at << " s: " << sent.id << " sent to " << routers.front().name << ", run by "
               << (started.contains(sent.id) ? started[sent.id] : "nobody ") << "; after " << sent.tookMs
               << " ms: " << (sent.status != 0 ? "status " + std::to_string(sent.status) : sent.end) << "\n";
    }
    const auto metrics = httpCall(routers.front().operators, { "GET", "/metrics", {}, "" }).body;
    auto lines = std::istringstream(metrics);
    for (auto line = std::string(); std::getline(lines, line);) {
        if (line.starts_with("marjoramloom_tunnels")) {
            record << routers.front().name << ": " << line << "\n";
        }
    }
    const auto isBroken = unanswered >= minUnanswered && 4 * unanswered > late;
    record << "requests " << requests.size() << ", answered " << answered << ", not answered at " << routeTimeoutMs
           << " ms: " << late << ", of these without any answer at " << routeTimeoutMs + slackMs
           << " ms: " << unanswered << " (" << unansweredRun << " had been run)\n"
           << (isBroken ? "CONFIG is broken\n" : "CONFIG held\n");
    std::cout << "late " << late << ", unanswered " << unanswered << ", of these run " << unansweredRun << ", answered "
              << answered << " of " << requests.size() << "\n";
    if (answered * 2 < static_cast<int>(requests.size())) {
        return 2; // The deployment did not serve, so that the case shows nothing.
    }
    return isBroken ? 1 : 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    if (argc != 2) {
        return 2;
    }
    try {
        return play(argv[1]);
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
