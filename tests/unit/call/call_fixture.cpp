#include "call_fixture.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>

namespace marjoramloom::test {

auto fake_grants::acquire(const ticket &waiting, std::shared_ptr<call_control> /*control*/, last_reason &why)
    -> boost::asio::awaitable<std::optional<grant>>
{
    tickets.push_back(waiting);
    if (onAcquire) {
        onAcquire(waiting);
    }
    const auto allowed = [&](object_id server) {
        return std::ranges::count(waiting.excluded, server) == 0;
    };
    const auto found = std::ranges::find_if(servers, allowed);
    if (refuse || found == servers.end()) {
        why.fail(failure_kind::overloaded, "wait for server", "", "refused by the test");
        co_return std::nullopt;
    }
    auto granted = grant();
    granted.ticket = waiting.id;
    granted.account = waiting.account;
    granted.server = *found;
    running[waiting.id] = *found;
    co_return granted;
}

auto fake_grants::progress(ticket_id /*id*/, double /*cost*/) -> void {}

auto fake_grants::settle(ticket_id id, double cost) -> void
{
    settledTwice = settledTwice || settled.contains(id);
    settled[id] = cost;
    running.erase(id);
}

auto fake_sink::deliver(const answer_piece &piece) -> boost::asio::awaitable<bool>
{
    ordered = ordered && piece.sequence == pieces && !lastReceived;
    ++pieces;
    text += piece.text;
    lastReceived = piece.last;
    finishReason = piece.finishReason;
    if (onPiece) {
        onPiece(piece);
    }
    co_return disconnectAfter == 0 || pieces < disconnectAfter;
}

call_fixture::call_fixture(std::size_t engineCount)
{
    for (auto index = std::size_t(0); index < engineCount; ++index) {
        m_engines.push_back(std::make_unique<fake_engine>(context));
        grants.servers.push_back({ index + 1 });
    }
    auto addresses = std::map<object_id, std::string>();
    for (auto index = std::size_t(0); index < engineCount; ++index) {
        addresses[{ index + 1 }] = m_engines[index]->address();
    }
    environment.dataCentre = "dc";
    environment.addressOf = [addresses](object_id server) -> std::optional<std::string> {
        const auto found = addresses.find(server);
        return found == addresses.end() ? std::nullopt : std::optional(found->second);
    };
    environment.connections = &connections;
    environment.retries = &retries;
    environment.onPace = [this](const pace_sample &sample) {
        samples.push_back(sample);
    };
    environment.onLeaving = [this](object_id server) {
        leaving.push_back(server);
    };
    environment.limits.reconnectAfter = std::chrono::milliseconds(60);
    environment.limits.firstEvent = std::chrono::seconds(2);
    environment.limits.betweenEvents = std::chrono::seconds(1);
    treatment.retries = 2;
}

auto call_fixture::engine(std::size_t index) -> fake_engine &
{
    return *m_engines[index];
}

auto call_fixture::makeRequest(const std::string &question, std::uint64_t maxTokens) -> model_request
{
    auto request = model_request();
    request.requestId = "r" + std::to_string(++m_requests);
    request.accountName = "account";
    request.account = { 1 };
    request.target.id = { 2 };
    request.treatment = treatment;
    request.body = questionBody(question, maxTokens);
    request.arrived = std::chrono::steady_clock::now();
    return request;
}

auto call_fixture::run(model_request request) -> call_result
{
    control = call_control::make(context.get_executor());
    auto call = model_call(environment, grants, sink, control, std::move(request));
    auto ended = std::optional<call_result>();
    boost::asio::co_spawn(context, call.run(), [&](std::exception_ptr thrown, call_result result) {
        if (thrown) {
            std::rethrow_exception(thrown);
        }
        ended = std::move(result);
    });
    context.restart();
    while (!ended) {
        context.run_one();
    }
    settle();
    return *ended;
}

auto call_fixture::settle(duration limit) -> void
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!grants.running.empty() && std::chrono::steady_clock::now() < until) {
        context.run_one_for(std::chrono::milliseconds(5));
    }
    context.poll();
}

} // namespace marjoramloom::test
