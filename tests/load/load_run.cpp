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

/// Kinds of requests in the mix: chat and review are model services, stock and orders plain services.
enum class request_kind {
    chat,
    streamedChat,
    review,
    stock,
    order,
};

/// Relative frequency of each kind of request, in the order of request_kind.
constexpr auto kindWeights = std::array<double, 5>{ 40, 30, 5, 10, 15 };

/// One request of the mix, before it is sent.
struct planned_request
{
    request_kind kind = request_kind::chat;
    std::string router;
    std::string account;
    std::string text; ///< Prompt of a model call, or item in the body of a plain call.
    std::string idempotencyKey;
};

auto planRequests(const load_plan &plan) -> std::vector<planned_request>
{
    auto random = boost::random::mt19937_64(static_cast<std::uint64_t>(plan.seed));
    auto kinds = boost::random::discrete_distribution<int>(kindWeights);
    auto tokens = boost::random::uniform_int_distribution<int>(10, 120);
    auto requests = std::vector<planned_request>();
    for (auto index = 0; index < plan.requests; ++index) {
        auto request = planned_request();
        request.kind = static_cast<request_kind>(kinds(random));
        request.router = plan.routers[static_cast<std::size_t>(index) % plan.routers.size()];
        const auto accountIndex =
            boost::random::uniform_int_distribution<std::size_t>(0, plan.accounts.size() - 1)(random);
        request.account = plan.accounts[accountIndex];
        const auto name = std::to_string(plan.seed) + "-" + std::to_string(index);
        const auto length = request.kind == request_kind::review ? 10 * tokens(random) : tokens(random);
        request.text = "request " + name + " tokens=" + std::to_string(length);
        if (request.kind == request_kind::order) {
            request.idempotencyKey = "order-" + name;
        }
        requests.push_back(std::move(request));
    }
    return requests;
}

auto isModelCall(request_kind kind) -> bool
{
    return kind == request_kind::chat || kind == request_kind::streamedChat || kind == request_kind::review;
}

auto profileOf(request_kind kind) -> std::string
{
    if (kind == request_kind::review) {
        return "lengthy";
    }
    return kind == request_kind::order ? "order" : "quick";
}

auto completionsBody(const planned_request &planned) -> std::string
{
    const auto message = json::object{ { "role", "user" }, { "content", planned.text } };
    return json::serialize(json::object{
        { "model", planned.kind == request_kind::review ? "review" : "chat" },
        { "messages", json::array{ message } },
        { "stream", planned.kind == request_kind::streamedChat },
    });
}

auto httpRequestOf(const planned_request &planned) -> test::http_request
{
    auto request = test::http_request();
    request.method = "POST";
    request.headers = { { "Authorization", "Bearer key-" + planned.account }, { "Content-Type", "application/json" } };
    request.timeout = std::chrono::seconds(120);
    if (isModelCall(planned.kind)) {
        request.target = "/v1/chat/completions";
        request.body = completionsBody(planned);
        return request;
    }
    request.target = planned.kind == request_kind::order ? "/services/orders/place" : "/services/stock/check";
    request.body = json::serialize(json::object{ { "item", planned.text } });
    if (!planned.idempotencyKey.empty()) {
        request.headers["Idempotency-Key"] = planned.idempotencyKey;
    }
    return request;
}

auto textOf(const planned_request &planned, const test::http_answer &answer) -> std::string
{
    if (planned.kind == request_kind::streamedChat) {
        return test::streamEnded(answer.body) ? test::streamedText(answer.body) : std::string();
    }
    auto error = boost::system::error_code();
    const auto body = json::parse(answer.body, error);
    const auto *content = error ? nullptr : body.find_pointer("/choices/0/message/content", error);
    return content && content->is_string() ? std::string(content->as_string()) : std::string();
}

auto isCorrect(const planned_request &planned, const test::http_answer &answer) -> bool
{
    if (!answer.complete || answer.status != 200) {
        return false;
    }
    if (!isModelCall(planned.kind)) {
        return true;
    }
    const auto expected = standins::completeAnswer({ { "user", planned.text } }).text();
    return textOf(planned, answer) == expected;
}

auto sendRequest(const planned_request &planned) -> load_outcome
{
    const auto begin = std::chrono::steady_clock::now();
    const auto answer = test::httpCall(planned.router, httpRequestOf(planned));
    auto outcome = load_outcome();
    outcome.account = planned.account;
    outcome.profile = profileOf(planned.kind);
    outcome.idempotencyKey = planned.idempotencyKey;
    outcome.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    outcome.correct = isCorrect(planned, answer);
    outcome.refused = answer.headers.contains("x-not-run");
    if (!outcome.correct) {
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
            outcomes[index] = sendRequest(requests[index]);
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
