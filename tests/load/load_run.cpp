#include "load_run.h"

#include "standins/answer_text.h"
#include "support/http_call.h"

#include <atomic>
#include <boost/json.hpp>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <sstream>
#include <thread>

namespace marjoramloom::load {

namespace json = boost::json;

namespace {

enum class request_sort {
    chat,
    streamedChat,
    review,
    stock,
    order,
};

/// Shares of the sorts of requests, in the order of request_sort.
constexpr auto sortShares = std::array<double, 5>{ 40, 30, 5, 10, 15 };

struct planned_request
{
    request_sort sort = request_sort::chat;
    std::string router;
    std::string account;
    std::string text; ///< Prompt or body.
    std::string idempotencyKey;
};

auto planRequests(const load_plan &plan) -> std::vector<planned_request>
{
    auto random = boost::random::mt19937_64(static_cast<std::uint64_t>(plan.seed));
    auto sorts = boost::random::discrete_distribution<int>(sortShares);
    auto tokens = boost::random::uniform_int_distribution<int>(10, 120);
    auto requests = std::vector<planned_request>();
    for (auto index = 0; index < plan.requests; ++index) {
        auto request = planned_request();
        request.sort = static_cast<request_sort>(sorts(random));
        request.router = plan.routers[static_cast<std::size_t>(index) % plan.routers.size()];
        const auto pick = boost::random::uniform_int_distribution<std::size_t>(0, plan.accounts.size() - 1)(random);
        request.account = plan.accounts[pick];
        const auto name = std::to_string(plan.seed) + "-" + std::to_string(index);
        const auto length = request.sort == request_sort::review ? 10 * tokens(random) : tokens(random);
        request.text = "request " + name + " tokens=" + std::to_string(length);
        if (request.sort == request_sort::order) {
            request.idempotencyKey = "order-" + name;
        }
        requests.push_back(std::move(request));
    }
    return requests;
}

auto isModelCall(request_sort sort) -> bool
{
    return sort == request_sort::chat || sort == request_sort::streamedChat || sort == request_sort::review;
}

auto profileOf(request_sort sort) -> std::string
{
    if (sort == request_sort::review) {
        return "lengthy";
    }
    return sort == request_sort::order ? "order" : "quick";
}

auto completionsBody(const planned_request &planned) -> std::string
{
    const auto message = json::object{ { "role", "user" }, { "content", planned.text } };
    return json::serialize(json::object{
        { "model", planned.sort == request_sort::review ? "review" : "chat" },
        { "messages", json::array{ message } },
        { "stream", planned.sort == request_sort::streamedChat },
    });
}

auto httpRequestOf(const planned_request &planned) -> test::http_request
{
    auto request = test::http_request();
    request.method = "POST";
    request.headers = { { "Authorization", "Bearer key-" + planned.account }, { "Content-Type", "application/json" } };
    request.timeout = std::chrono::seconds(120);
    if (isModelCall(planned.sort)) {
        request.target = "/v1/chat/completions";
        request.body = completionsBody(planned);
        return request;
    }
    request.target = planned.sort == request_sort::order ? "/services/orders/place" : "/services/stock/check";
    request.body = json::serialize(json::object{ { "item", planned.text } });
    if (!planned.idempotencyKey.empty()) {
        request.headers["Idempotency-Key"] = planned.idempotencyKey;
    }
    return request;
}

auto textOf(const planned_request &planned, const test::http_answer &answer) -> std::string
{
    if (planned.sort == request_sort::streamedChat) {
        return test::streamEnded(answer.body) ? test::streamedText(answer.body) : std::string();
    }
    auto error = boost::system::error_code();
    const auto body = json::parse(answer.body, error);
    const auto *content = error ? nullptr : body.find_pointer("/choices/0/message/content", error);
    return content && content->is_string() ? std::string(content->as_string()) : std::string();
}

auto isRight(const planned_request &planned, const test::http_answer &answer) -> bool
{
    if (!answer.whole || answer.status != 200) {
        return false;
    }
    if (!isModelCall(planned.sort)) {
        return true;
    }
    const auto expected = standins::wholeAnswer({ { "user", planned.text } }).text();
    return textOf(planned, answer) == expected;
}

auto sendOne(const planned_request &planned) -> load_outcome
{
    const auto begin = std::chrono::steady_clock::now();
    const auto answer = test::httpCall(planned.router, httpRequestOf(planned));
    auto outcome = load_outcome();
    outcome.account = planned.account;
    outcome.profile = profileOf(planned.sort);
    outcome.idempotencyKey = planned.idempotencyKey;
    outcome.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    outcome.whole = isRight(planned, answer);
    outcome.refused = answer.headers.contains("x-not-run");
    if (!outcome.whole) {
        outcome.problem = std::to_string(answer.status) + " " + answer.error + " " + answer.body.substr(0, 200);
    }
    return outcome;
}

} // namespace

auto runLoad(const load_plan &plan) -> std::vector<load_outcome>
{
    const auto requests = planRequests(plan);
    auto outcomes = std::vector<load_outcome>(requests.size());
    auto next = std::atomic<std::size_t>(0);
    const auto work = [&] {
        for (auto index = next++; index < requests.size(); index = next++) {
            outcomes[index] = sendOne(requests[index]);
        }
    };
    auto threads = std::vector<std::thread>();
    for (auto index = 0; index < plan.concurrency; ++index) {
        threads.emplace_back(work);
    }
    for (auto &thread : threads) {
        thread.join();
    }
    return outcomes;
}

auto countExecutions(const std::vector<std::string> &orderServers) -> std::map<std::string, int>
{
    auto executions = std::map<std::string, int>();
    for (const auto &server : orderServers) {
        const auto answer = test::httpCall(server, { "GET", "/control/record", {}, "" });
        auto lines = std::istringstream(answer.body);
        for (auto line = std::string(); std::getline(lines, line);) {
            const auto entry = json::parse(line).as_object();
            const auto key = std::string(entry.at("idempotency_key").as_string());
            if (!key.empty()) {
                ++executions[key];
            }
        }
    }
    return executions;
}

} // namespace marjoramloom::load
