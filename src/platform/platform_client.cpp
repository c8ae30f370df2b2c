#include "marjoramloom/platform/platform_client.h"

#include "platform/platform_json.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace asio = boost::asio;
namespace http = boost::beast::http;

static_assert(object_store<platform_client>);

namespace {

constexpr auto idlePerClient = std::size_t(64);

auto objectTarget(const std::string &kind, const std::string &name) -> std::string
{
    return "/v1/objects/" + kind + "/" + name;
}

auto makeRequest(http::verb method, const std::string &target) -> http_request
{
    auto request = http_request(method, target, 11);
    request.keep_alive(true);
    return request;
}

/// Statuses by which the platform says that it did not carry a write out.
auto isRefusal(http::status status) -> bool
{
    switch (status) {
    case http::status::bad_request:
    case http::status::unauthorized:
    case http::status::forbidden:
    case http::status::not_found:
    case http::status::method_not_allowed:
    case http::status::payload_too_large:
    case http::status::too_many_requests:
    case http::status::service_unavailable:
        return true;
    default:
        return false;
    }
}

auto refusalKind(http::status status) -> failure_kind
{
    if (status == http::status::too_many_requests) {
        return failure_kind::overloaded;
    }
    return status == http::status::service_unavailable ? failure_kind::unavailable : failure_kind::invalidInput;
}

auto statusText(const http_response &response) -> std::string
{
    return "status " + std::to_string(response.result_int());
}

} // namespace

struct platform_client::call_budget
{
    time_point deadline;
    bool repeatable = false;
    bool fresh = false; ///< Use no idle connection.
};

platform_client::platform_client(asio::any_io_executor executor, platform_options options, counter_registry &counters)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_calls(counters.at("marjoramloom_platform_calls_total"))
    , m_failures(counters.at("marjoramloom_platform_failures_total"))
    , m_redials(counters.at("marjoramloom_platform_watch_redials_total"))
{
    assert(!m_options.addresses.empty());
}

auto platform_client::get(std::string kind, std::string name, last_reason &why)
    -> asio::awaitable<std::optional<stored_object>>
{
    auto sent = sent_state::notSent;
    auto request = makeRequest(http::verb::get, objectTarget(kind, name));
    const auto response = co_await call(std::move(request), true, sent, why);
    if (!response) {
        co_return std::nullopt;
    }
    if (response->result() == http::status::not_found) {
        co_return stored_object{ .kind = std::move(kind), .name = std::move(name), .revision = 0, .value = {} };
    }
    if (response->result() != http::status::ok) {
        co_return why.fail(failure_kind::unavailable, "get object", "platform", statusText(*response));
    }
    co_return parseStoredObject(response->body(), why);
}

auto platform_client::list(std::string kind, last_reason &why) -> asio::awaitable<std::optional<object_list>>
{
    auto sent = sent_state::notSent;
    auto request = makeRequest(http::verb::get, "/v1/objects/" + kind);
    const auto response = co_await call(std::move(request), true, sent, why);
    if (!response) {
        co_return std::nullopt;
    }
    if (response->result() != http::status::ok) {
        co_return why.fail(failure_kind::unavailable, "list objects", "platform", statusText(*response));
    }
    co_return parseObjectList(response->body(), why);
}

auto platform_client::instances(last_reason &why) -> asio::awaitable<std::optional<instance_snapshot>>
{
    auto sent = sent_state::notSent;
    auto request = makeRequest(http::verb::get, "/v1/instances");
    const auto response = co_await call(std::move(request), true, sent, why);
    if (!response) {
        co_return std::nullopt;
    }
    if (response->result() != http::status::ok) {
        co_return why.fail(failure_kind::unavailable, "list instances", "platform", statusText(*response));
    }
    co_return parseInstances(response->body(), why);
}

auto platform_client::create(std::string kind, std::string name, std::string value, last_reason &why)
    -> asio::awaitable<write_outcome>
{
    auto request = makeRequest(http::verb::put, objectTarget(kind, name));
    request.set(http::field::if_none_match, "*");
    request.body() = std::move(value);
    return write(std::move(request), why);
}

auto platform_client::update(std::string kind, std::string name, std::string value, std::uint64_t revision,
                             last_reason &why) -> asio::awaitable<write_outcome>
{
    auto request = makeRequest(http::verb::put, objectTarget(kind, name));
    request.set(http::field::if_match, std::to_string(revision));
    request.body() = std::move(value);
    return write(std::move(request), why);
}

auto platform_client::remove(std::string kind, std::string name, std::uint64_t revision, last_reason &why)
    -> asio::awaitable<write_outcome>
{
    auto request = makeRequest(http::verb::delete_, objectTarget(kind, name));
    request.set(http::field::if_match, std::to_string(revision));
    return write(std::move(request), why);
}

auto platform_client::write(http_request request, last_reason &why) -> asio::awaitable<write_outcome>
{
    auto sent = sent_state::notSent;
    const auto removing = request.method() == http::verb::delete_;
    const auto response = co_await call(std::move(request), false, sent, why);
    if (!response) {
        co_return write_outcome{ sent == sent_state::notSent ? write_result::notSent : write_result::unknown, {} };
    }
    if (response->result() == http::status::ok) {
        auto stored = parseStoredObject(response->body(), why);
        co_return write_outcome{ write_result::written, stored ? std::move(*stored) : stored_object() };
    }
    if (response->result() == http::status::precondition_failed) {
        why.fail(failure_kind::conflict, "write object", "platform", "another write came first");
        auto reason = last_reason();
        auto current = parseStoredObject(response->body(), reason);
        co_return write_outcome{ write_result::conflict, current ? std::move(*current) : stored_object() };
    }
    if (removing && response->result() == http::status::not_found) {
        why.fail(failure_kind::notFound, "delete object", "platform", "no such object");
        co_return write_outcome{ write_result::conflict, {} };
    }
    if (isRefusal(response->result())) {
        why.fail(refusalKind(response->result()), "write object", "platform", statusText(*response));
        co_return write_outcome{ write_result::notSent, {} };
    }
    why.fail(failure_kind::unknownOutcome, "write object", "platform", statusText(*response));
    co_return write_outcome{ write_result::unknown, {} };
}

auto platform_client::call(http_request request, bool repeatable, sent_state &sent, last_reason &why)
    -> asio::awaitable<std::optional<http_response>>
{
    m_calls.add();
    auto state = call_budget{ .deadline = std::chrono::steady_clock::now() + m_options.timeout,
                              .repeatable = repeatable,
                              .fresh = false };
    request.prepare_payload();
    const auto attempts = m_options.addresses.size() + 1;
    for (auto tried = std::size_t(0); tried < attempts; ++tried) {
        sent = sent_state::notSent;
        auto response = co_await attempt(state, request, sent, why);
        if (response) {
            noteAnswer();
            co_return response;
        }
        state.fresh = true;
        const auto mayRepeat = repeatable || sent == sent_state::notSent;
        if (!mayRepeat || std::chrono::steady_clock::now() >= state.deadline) {
            break;
        }
    }
    m_failures.add();
    co_return std::nullopt;
}

auto platform_client::attempt(call_budget &state, http_request request, sent_state &sent, last_reason &why)
    -> asio::awaitable<std::optional<http_response>>
{
    const auto address = preferredAddress();
    request.set(http::field::host, address);
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(state.deadline - std::chrono::steady_clock::now());
    // A read leaves time for another attempt elsewhere; so does connecting, which proves that nothing was sent.
    const auto half = std::max(remaining / 2, std::chrono::milliseconds(1));
    auto connection = state.fresh ? nullptr : takeIdle(address);
    if (!connection) {
        connection = std::make_shared<platform_connection>(m_executor, address);
        const auto connected = co_await connection->connect(half, why);
        if (!connected) {
            preferNext(address);
            co_return std::nullopt;
        }
    }
    auto response = co_await connection->exchange(std::move(request), state.repeatable ? half : remaining, sent, why);
    if (!response) {
        // What cut this connection off may have cut the idle ones to the same address off, too.
        dropIdle(address);
        preferNext(address);
        co_return std::nullopt;
    }
    if (response->keep_alive()) {
        giveBack(std::move(connection));
    }
    co_return response;
}

auto platform_client::takeIdle(const std::string &address) -> std::shared_ptr<platform_connection>
{
    const auto lock = std::lock_guard(m_mutex);
    const auto oldest = std::chrono::steady_clock::now() - m_options.idleLimit;
    std::erase_if(m_idle, [&](const auto &idle) { return idle.since < oldest; });
    for (auto entry = m_idle.rbegin(); entry != m_idle.rend(); ++entry) {
        if (entry->connection->address() != address) {
            continue;
        }
        auto connection = std::move(entry->connection);
        m_idle.erase(std::next(entry).base());
        return connection->isQuiet() ? connection : nullptr;
    }
    return nullptr;
}

auto platform_client::giveBack(std::shared_ptr<platform_connection> connection) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_idle.push_back({ std::move(connection), std::chrono::steady_clock::now() });
    if (m_idle.size() > idlePerClient) {
        m_idle.pop_front();
    }
}

auto platform_client::dropIdle(const std::string &address) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    std::erase_if(m_idle, [&](const auto &idle) { return idle.connection->address() == address; });
}

auto platform_client::preferredAddress() const -> std::string
{
    return m_options.addresses[m_preferred.load(std::memory_order_relaxed) % m_options.addresses.size()];
}

auto platform_client::preferNext(const std::string &failed) -> void
{
    auto expected = m_preferred.load(std::memory_order_relaxed);
    if (m_options.addresses[expected % m_options.addresses.size()] == failed) {
        m_preferred.compare_exchange_strong(expected, expected + 1, std::memory_order_relaxed);
    }
}

auto platform_client::noteAnswer() -> void
{
    m_lastAnswer.store(std::chrono::steady_clock::now().time_since_epoch().count(), std::memory_order_relaxed);
}

auto platform_client::silence() const -> duration
{
    const auto last = m_lastAnswer.load(std::memory_order_relaxed);
    return last == 0 ? duration::max() : std::chrono::steady_clock::now() - time_point(duration(last));
}

} // namespace marjoramloom
