#include "call_fleet.h"

#include <boost/test/unit_test.hpp>

namespace marjoramloom::test {

auto oneDataCentre(int engines, int routers, double tokenMs) -> fleet_plan
{
    auto plan = fleet_plan();
    plan.dataCentres = { "north" };
    plan.enginesPerDataCentre = engines;
    plan.routersPerDataCentre = routers;
    plan.tokenMs = tokenMs;
    return plan;
}

parallel_calls::parallel_calls(fleet &testFleet)
    : m_fleet(testFleet)
{
}

auto parallel_calls::start(const router_handle &router, const std::string &prompt, int tokens, bool stream,
                           const std::string &model) -> void
{
    auto newCall = std::make_unique<running_call>();
    newCall->prompt = prompt + " tokens=" + std::to_string(tokens);
    newCall->stream = stream;
    auto *call = newCall.get();
    call->thread = std::thread([this, call, &router, model] {
        call->answer = m_fleet.chat(router, "alpha", call->prompt, call->stream, model);
    });
    m_calls.push_back(std::move(newCall));
}

auto parallel_calls::finish() -> std::size_t
{
    auto incomplete = std::size_t(0);
    for (auto &call : m_calls) {
        call->thread.join();
        const auto &answer = call->answer;
        const auto text = call->stream ? streamedText(answer.body) : answerText(answer);
        const auto ended = answer.complete && (!call->stream || streamEnded(answer.body));
        incomplete += ended && text == expectedText(call->prompt) ? 0 : 1;
        BOOST_TEST(ended, call->prompt + ": status " + std::to_string(answer.status) + " " + answer.error);
        BOOST_TEST(text == expectedText(call->prompt));
    }
    m_calls.clear();
    return incomplete;
}

auto findEngineByPrompt(fleet &testFleet, const std::string &text) -> standin *
{
    for (const auto &engine : testFleet.engines()) {
        if (!engine->process().running()) {
            continue;
        }
        for (const auto &entry : engine->record()) {
            const auto *body = entry.if_contains("body");
            if (body && std::string_view(body->as_string()).find(text) != std::string_view::npos) {
                return engine.get();
            }
        }
    }
    return nullptr;
}

auto startedRequests(standin &engine) -> std::size_t
{
    auto count = std::size_t(0);
    for (const auto &entry : engine.record()) {
        count += entry.at("state").as_string() == "started" ? 1 : 0;
    }
    return count;
}

} // namespace marjoramloom::test
