#include "cli/router_client.h"

#include "marjoramloom/contract/configuration_codec.h"
#include "marjoramloom/contract/operator_api.h"
#include "marjoramloom/store/store_connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <cstdlib>
#include <thread>

namespace marjoramloom {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr auto connectTimeout = std::chrono::milliseconds(3'000);
constexpr auto answerTimeout = std::chrono::milliseconds(15'000);
constexpr auto maxProposalAttempts = 3;
constexpr auto retryDelay = std::chrono::milliseconds(300);

auto fromEnvironment(const char *name) -> std::string
{
    const auto *value = std::getenv(name);
    return value == nullptr ? std::string() : std::string(value);
}

auto roundTrip(asio::any_io_executor executor, std::string address, http_request request, last_reason &why)
    -> asio::awaitable<std::optional<http_response>>
{
    const auto connection = std::make_shared<store_connection>(executor, std::move(address));
    const auto connected = co_await connection->connect(connectTimeout, why);
    if (!connected) {
        co_return std::nullopt;
    }
    auto sent = sent_state::notSent;
    co_return co_await connection->exchange(std::move(request), answerTimeout, sent, why);
}

auto hintFor(failure_kind kind) -> const char *
{
    switch (kind) {
    case failure_kind::unauthorized:
        return "Set the operators' key with --key or MARJORAMLOOM_KEY.";
    case failure_kind::notSent:
        return "Set the address of a router's operators' listener with --router or MARJORAMLOOM_ROUTER; nothing was "
               "changed.";
    case failure_kind::unavailable:
        return "Nothing was changed. Try again, or use another router.";
    case failure_kind::conflict:
        return "Look at the changes with 'marjoramloom diff FILE...', then apply again.";
    case failure_kind::unknownOutcome:
        return "The change may or may not be accepted. Check with 'marjoramloom diff FILE...', then apply again.";
    case failure_kind::invalidInput:
        return "Correct the input; nothing was changed.";
    case failure_kind::notFound:
        return "List the existing objects with 'marjoramloom get'.";
    default:
        return "Try again, or use another router.";
    }
}

auto textAt(const json::object &object, std::string_view key) -> std::string
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? json::value_to<std::string>(*value) : std::string();
}

} // namespace

auto routerOptions() -> std::vector<command_option>
{
    return { { "router", "IP:PORT", "Operators' listener of a router (default: MARJORAMLOOM_ROUTER)" },
             { "key", "KEY", "Operators' bearer key (default: MARJORAMLOOM_KEY)" },
             { "json", "", "Print JSON" } };
}

router_client::router_client(const command_arguments &arguments)
    : m_address(arguments.value("router", fromEnvironment("MARJORAMLOOM_ROUTER")))
    , m_key(arguments.value("key", fromEnvironment("MARJORAMLOOM_KEY")))
{
}

router_client::router_client(const command_arguments &arguments, std::string address)
    : m_address(std::move(address))
    , m_key(arguments.value("key", fromEnvironment("MARJORAMLOOM_KEY")))
{
}

auto router_client::get(const std::string &target, last_reason &why) -> std::optional<router_answer>
{
    return exchange("GET", target, {}, why);
}

auto router_client::post(const std::string &target, const json::object &body, last_reason &why)
    -> std::optional<router_answer>
{
    return exchange("POST", target, json::serialize(body), why);
}

auto router_client::exchange(const std::string &method, const std::string &target, const std::string &body,
                             last_reason &why) -> std::optional<router_answer>
{
    if (m_address.empty()) {
        return why.fail(failure_kind::notSent, "connect", "", "no router address is given");
    }
    auto request = http_request(http::string_to_verb(method), target, 11);
    request.set(http::field::host, m_address);
    request.set(http::field::authorization, "Bearer " + m_key);
    request.set(http::field::content_type, "application/json");
    request.body() = body;
    request.prepare_payload();
    auto context = asio::io_context();
    auto work = asio::co_spawn(context, roundTrip(context.get_executor(), m_address, std::move(request), why),
                               asio::use_future);
    context.run();
    const auto response = work.get();
    if (!response) {
        return std::nullopt;
    }
    auto error = boost::system::error_code();
    auto value = json::parse(response->body(), error);
    if (error || !value.is_object()) {
        return why.fail(failure_kind::protocolViolation, "read answer", m_address,
                        "status " + std::to_string(response->result_int()) + " without a JSON object");
    }
    return router_answer{ response->result_int(), std::move(value.as_object()) };
}

auto router_client::readConfiguration(last_reason &why) -> std::optional<configuration>
{
    const auto answer = get("/v1/configuration", why);
    if (!answer) {
        return std::nullopt;
    }
    if (answer->status != 200) {
        why = reasonOf(*answer);
        return std::nullopt;
    }
    auto problems = configuration_problems();
    auto all = configurationFromJson(answer->body, problems);
    if (!all) {
        return why.fail(failure_kind::protocolViolation, "read configuration", m_address, problems.front().message());
    }
    return all;
}

auto router_client::propose(const proposed_change &proposal, last_reason &why) -> std::optional<router_answer>
{
    auto mayBeCommitted = false;
    for (auto attempt = 0; attempt < maxProposalAttempts; ++attempt) {
        if (attempt > 0) {
            std::this_thread::sleep_for(retryDelay);
        }
        const auto answer = post("/v1/changes", toJson(proposal), why);
        const auto outcomeUnknown = answer ? answer->status == 504 : why.kind != failure_kind::notSent;
        if (answer && !outcomeUnknown) {
            return answer;
        }
        mayBeCommitted = mayBeCommitted || outcomeUnknown;
        if (answer) {
            why = reasonOf(*answer);
        }
    }
    if (mayBeCommitted) {
        why.kind = failure_kind::unknownOutcome;
    }
    return std::nullopt;
}

auto reasonOf(const router_answer &answer) -> last_reason
{
    auto why = last_reason();
    const auto *body = answer.body.if_contains("error");
    if (body == nullptr || !body->is_object()) {
        why.fail(failure_kind::protocolViolation, "read answer", "router", "status " + std::to_string(answer.status));
        return why;
    }
    const auto &error = body->get_object();
    const auto kind = parseEnum<failure_kind>(textAt(error, "kind")).value_or(failure_kind::internal);
    why.fail(kind, textAt(error, "step"), textAt(error, "peer"), textAt(error, "detail"));
    return why;
}

auto exitCodeOf(failure_kind kind) -> exit_code
{
    switch (kind) {
    case failure_kind::none:
        return exit_code::success;
    case failure_kind::invalidInput:
        return exit_code::invalid;
    case failure_kind::conflict:
        return exit_code::conflict;
    case failure_kind::notFound:
        return exit_code::notFound;
    case failure_kind::unknownOutcome:
        return exit_code::unknownOutcome;
    case failure_kind::internal:
        return exit_code::internal;
    default:
        return exit_code::unavailable;
    }
}

auto reportFailure(const last_reason &why) -> int
{
    std::fprintf(stderr, "marjoramloom: %s\n%s\n", why.text().c_str(), hintFor(why.kind));
    return static_cast<int>(exitCodeOf(why.kind));
}

} // namespace marjoramloom
