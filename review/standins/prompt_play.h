#pragma once

// Play of the cases in which one client's prompt ends routers: other clients send orders on kept channels meanwhile,
// and must get their answers.

#include "deployment.h"

namespace review {

/// What sets a case apart.
struct prompt_play
{
    int headerLimit; ///< The manifest's max_header_bytes.
    std::string prefix; ///< X-Prompt-Prefix of the one client's prompt.
    std::string tokens; ///< Its X-Token-Usage.
};

constexpr auto playMs = 9'000;
constexpr auto troubleAtMs = 4'000;
constexpr auto workMs = 250;
constexpr auto clientsPerRouter = 6;
/// More than this many such requests break the rule.
constexpr auto toleratedLosses = 3;

struct lost_request
{
    std::string id;
    std::string router;
};

inline auto playPrompt(int argc, char **argv, const prompt_play &options) -> int
{
    if (argc < 3) {
        std::fprintf(stderr, "usage: case ROUTER RECORD\n");
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    auto &record = *new run_record(argv[2]);
    const auto folder = work_folder();
    auto &platform = *new store();
    auto engines = std::vector<engine *>();
    const auto zones = std::vector<std::string>{ "addis-a", "addis-b" };
    for (auto index = 0; index < 6; ++index) {
        const auto isDesk = index < 3;
        engines.push_back(new engine("i-7f3a91c" + std::to_string(index), record, isDesk ? workMs : 10));
        platform.put("servers", engines.back()->id(),
                     engines.back()->entry(isDesk ? "order-desk" : "loom-pool", zones[index % 2], isDesk ? 16 : 64));
    }
    auto configuration = manifest(3);
    configuration["limits"].as_object()["max_header_bytes"] = options.headerLimit;
    platform.put("config", "main", configuration);
    auto routers = std::vector<std::unique_ptr<router>>();
    for (const auto &zone : zones) {
        routers.push_back(
            std::make_unique<router>(argv[1], folder.path(), "edge-" + zone + "-1", zone, platform.address()));
    }
    for (const auto &each : routers) {
        if (!each->waitUntilReady(15'000)) {
            std::fprintf(stderr, "%s is not ready\n", each->name().c_str());
            return 2;
        }
    }
    sleepMs(1'000);

    const auto start = steady::now();
    const auto at = [&](int milliseconds) {
        return start + std::chrono::milliseconds(milliseconds);
    };
    auto counter = std::atomic<int>(0);
    auto served = std::atomic<int>(0);
    auto asked = std::atomic<int>(0);
    auto lostMutex = std::mutex();
    auto lost = std::vector<lost_request>();
    auto clients = std::vector<std::thread>();
    for (auto number = 0; number < clientsPerRouter * static_cast<int>(routers.size()); ++number) {
        const auto *through = routers[number % routers.size()].get();
        clients.emplace_back([&, through] {
            auto kept = std::unique_ptr<channel>();
            auto answersOnChannel = 0;
            while (steady::now() < at(playMs)) {
                if (!kept) {
                    kept = channel::connect(through->port());
                    answersOnChannel = 0;
                    if (!kept) {
                        sleepMs(200);
                        continue;
                    }
                    kept->setReadTimeout(6'000);
                }
                const auto id = attemptId(++counter);
                ++asked;
                record.add("order " + id + " is sent to " + through->name());
                const auto answer =
                    exchange(*kept, "POST", "/orders/2f", { { "X-Attempt-Id", id }, { "X-Deadline-Ms", "1500" } },
                             std::string(600, 'o'));
                record.add("order " + id + (answer ? " gets " + std::to_string(answer->status()) : ": channel closed"));
                if (answer) {
                    served += answer->status() == 200 ? 1 : 0;
                    ++answersOnChannel;
                    sleepMs(20);
                    continue;
                }
                kept.reset();
                if (answersOnChannel > 0) {
                    const auto lock = std::lock_guard(lostMutex);
                    lost.push_back({ id, through->name() });
                }
            }
        });
    }

    // The client with the long prompt. After a closed channel it tries once more, at another router: streams that may
    // be resumed may be repeated after any failure.
    std::this_thread::sleep_until(at(troubleAtMs));
    auto prompts = std::string();
    for (const auto &through : routers) {
        const auto id = attemptId(0x100000 + ++counter);
        const auto answer = call(through->port(), "POST", "/drafts/2f",
                                 { { "X-Attempt-Id", id },
                                   { "X-Model-Id", "m" },
                                   { "X-Token-Usage", options.tokens },
                                   { "X-Prompt-Prefix", options.prefix },
                                   { "X-Deadline-Ms", "4000" },
                                   { "Authorization", "Bearer key-of-alpha" } },
                                 std::string(2'000, 'p'));
        const auto result = answer ? std::to_string(answer->status()) : std::string("channel closed");
        record.add("prompt " + id + " with a list of parts of " + std::to_string(options.prefix.size()) + " bytes, '"
                   + options.prefix.substr(0, 80) + "', by " + through->name() + ": " + result);
        prompts += (prompts.empty() ? "" : ", ") + result;
        if (answer) {
            break;
        }
        sleepMs(500);
    }
    for (auto &client : clients) {
        client.join();
    }

    auto passedOn = 0;
    for (const auto &request : lost) {
        auto runs = 0;
        for (auto *each : engines) {
            runs += each->runs(request.id);
        }
        passedOn += runs > 0 ? 1 : 0;
        record.add("order " + request.id + " lost on a kept channel of " + request.router + ", run "
                   + std::to_string(runs) + " times");
    }
    auto ended = 0;
    for (const auto &each : routers) {
        ended += each->isRunning() ? 0 : 1;
    }
    const auto result = std::to_string(asked.load()) + " orders, " + std::to_string(served.load()) + " served; "
        + std::to_string(passedOn)
        + " were passed on to a sound engine and then lost with their kept channel; prompt: " + prompts + "; "
        + std::to_string(ended) + " of " + std::to_string(routers.size()) + " routers have ended by themselves";
    record.add(result);
    std::printf("%s\n", result.c_str());
    if (served < 50) {
        return 2;
    }
    return passedOn > toleratedLosses ? 1 : 0;
}

} // namespace review
