#include "marjoramloom/gateway/traffic/gateway_handler.h"

#include "marjoramloom/core/log.h"
#include "marjoramloom/gateway/traffic/error_reply.h"
#include "marjoramloom/gateway/traffic/gateway_call.h"
#include "platform/header_format.h"
#include "router/caller_watch.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

constexpr unsigned badRequest = 400;
constexpr unsigned unauthorized = 401;
constexpr unsigned notFound = 404;
constexpr unsigned unavailable = 503;

/// Counts a request that is being forwarded for as long as the object lives.
class running_request
{
public:
    explicit running_request(gateway_state &state)
        : m_state(state)
    {
        ++m_state.running;
    }
    ~running_request()
    {
        --m_state.running;
    }
    running_request(const running_request &) = delete;
    auto operator=(const running_request &) -> running_request & = delete;

private:
    gateway_state &m_state;
};

} // namespace

gateway_handler::gateway_handler(gateway_state &state, placement_dispatch &dispatch, stream_lookup &streams)
    : m_state(state)
    , m_dispatch(dispatch)
    , m_streams(streams)
{
}

auto gateway_handler::handle(http_exchange &exchange) -> asio::awaitable<void>
{
    ++m_state.handledRequests;
    if (!exchange.isFirst()) {
        m_state.connectionAdmission.noteFurtherRequest(system_clock_source().now());
    }
    auto why = last_reason();
    auto request = platform::decodeRequest(exchange.request().base(), exchange.longFields(), why);
    if (!request) {
        auto undecoded = routed_request();
        undecoded.id = platform::requestId(exchange.request().base());
        co_await refuse(exchange, undecoded, badRequest, why.detail);
        co_return;
    }
    request->arrived = boot_clock::now();
    if (exchange.isCallerDisconnected()) {
        // An overloaded router reads requests late. Requests whose callers have disconnected are dropped, so that they
        // do not delay others further.
        m_state.abandonedRequests.add();
        log_line(log_level::info, "caller_gone").with("request", request->id);
        exchange.closeWithoutAnswer();
        co_return;
    }
    if (m_state.shouldMoveCallers && exchange.reusable()) {
        m_state.movedCallers.add();
        exchange.closeAfterAnswer();
    }
    if (m_state.stopping) {
        exchange.closeAfterAnswer();
    }
    if (!m_state.settings.fairRefusals && m_state.loopDelay.isOverloaded(system_clock_source().now())) {
        exchange.closeAfterAnswer();
        co_await refuse(exchange, *request, unavailable, "this router is behind with its work");
        co_return;
    }
    if (m_state.rejectingRequests) {
        co_await refuse(exchange, *request, unavailable, "this router is stopping");
        co_return;
    }
    const auto routes = m_state.routes;
    if (!routes || !m_state.hasServers || !m_state.areEvacuationsKnown()) {
        co_await refuse(exchange, *request, unavailable, "no configuration yet");
        co_return;
    }
    const auto *route = routes->findRoute(request->host, request->path);
    if (route == nullptr && !m_state.isConfigurationCurrent(boot_clock::now())) {
        co_await refuse(exchange, *request, unavailable, "no route in a configuration that may be outdated");
        co_return;
    }
    if (route == nullptr) {
        co_await refuse(exchange, *request, notFound, "no route");
        co_return;
    }
    auto account = std::string();
    if (!route->anonymous) {
        if (!m_state.keys.isFresh(boot_clock::now())) {
            co_await refuse(exchange, *request, unavailable, "keys not confirmed lately");
            co_return;
        }
        const auto *keyAccount = request->key ? routes->findAccount(*request->key) : nullptr;
        if (keyAccount == nullptr && !m_state.isConfigurationCurrent(boot_clock::now())) {
            co_await refuse(exchange, *request, unavailable, "unknown key in a configuration that may be outdated");
            co_return;
        }
        if (keyAccount == nullptr) {
            co_await refuse(exchange, *request, unauthorized, "unknown key");
            co_return;
        }
        account = keyAccount->name;
        exchange.memory().setAccount(account);
    }
    if (m_state.settings.fairRefusals
        && !m_state.requestLimit.mayServe(account_usage::accountId(account), system_clock_source().now())) {
        m_state.requestsOverShare.add();
        co_await refuse(exchange, *request, unavailable, "this router is behind and the account over its share");
        co_return;
    }
    co_await forward(exchange, std::move(*request), *route, std::move(account));
}

auto gateway_handler::addToRefusal(const boost::beast::http::request_header<> &head, http_reply &refusal) const -> void
{
    m_state.counters.at("marjoramloom_refused_total", "status=\"" + std::to_string(refusal.status) + "\"").add();
    if (const auto id = platform::requestId(head); !id.empty()) {
        refusal.headers.emplace_back(platform::requestIdField, id);
    }
}

auto gateway_handler::forward(http_exchange &exchange, routed_request request, const route_rule &route,
                              std::string account) -> asio::awaitable<void>
{
    using namespace asio::experimental::awaitable_operators;
    if (!exchange.memory().hold(memory_use::forwarding, connection_memory::FORWARDING_BYTES)) {
        co_await refuse(exchange, request, unavailable, "no memory for the request");
        co_return;
    }
    auto call = gateway_call(m_state, m_dispatch, m_streams, exchange, std::move(request), m_state.routes, route,
                             std::move(account));
    auto control = call_control::make(co_await asio::this_coro::executor);
    const auto counted = running_request(m_state);
    co_await (call.run(control) || cancelOnCallerDisconnect(exchange, control));
    exchange.memory().hold(memory_use::forwarding, 0);
}

auto gateway_handler::refuse(http_exchange &exchange, const routed_request &request, unsigned status,
                             std::string_view reason) -> asio::awaitable<void>
{
    const auto routes = m_state.routes;
    log_line(log_level::info, "refused")
        .with("request", request.id)
        .with("status", status)
        .with("reason", reason)
        .with("configuration", routes ? routes->version() : 0);
    m_state.counters.at("marjoramloom_refused_total", "status=\"" + std::to_string(status) + "\"").add();
    auto answer = makeErrorReply(m_state, request, status, reason);
    co_await exchange.reply(std::move(answer));
}

} // namespace marjoramloom
