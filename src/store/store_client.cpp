#include "marjoramloom/store/store_client.h"

#include "marjoramloom/core/log.h"
#include "platform/object_format.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>

namespace marjoramloom {

namespace asio = boost::asio;
namespace http = boost::beast::http;

static_assert(object_store<store_client>);

namespace {

constexpr auto maxIdleConnections = std::size_t(64);

auto makeRequest(http::verb method, const std::string &target) -> http_request
{
    auto request = http_request(method, target, 11);
    request.keep_alive(true);
    return request;
}

/// Whether the platform certainly did not execute a write that it answered with \p status.
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

struct store_client::call_context
{
    time_point deadline;
    bool retryable = false;
    bool newConnectionOnly = false; ///< The next attempt must not reuse an idle connection.
    bool reusedConnection = false; ///< The last attempt used an idle connection, which the platform may have closed.
};

store_client::store_client(asio::any_io_executor executor, store_options options, counter_registry &counters)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_calls(counters.at("marjoramloom_platform_calls_total"))
    , m_failures(counters.at("marjoramloom_platform_failures_total"))
    , m_reconnects(counters.at("marjoramloom_platform_watch_redials_total"))
    , m_earlierEraAnswers(counters.at("marjoramloom_platform_earlier_era_answers_total"))
{
    assert(!m_options.addresses.empty());
}

auto store_client::setWatchThrottle(const watch_throttle &throttle) -> void
{
    m_options.throttle = throttle;
}

auto store_client::watchThrottle() const -> const watch_throttle &
{
    return m_options.throttle;
}

auto store_client::get(std::string kind, std::string name, last_reason &why)
    -> asio::awaitable<std::optional<stored_object>>
{
    auto sent = sent_state::notSent;
    auto request = makeRequest(http::verb::get, platform::objectTarget(kind, name));
    const auto answer = co_await call(std::move(request), true, sent, why);
    if (!answer) {
        co_return std::nullopt;
    }
    const auto *response = &answer->response;
    if (response->result() == http::status::not_found) {
        co_return stored_object{ .kind = std::move(kind), .name = std::move(name), .revision = 0, .value = {} };
    }
    if (response->result() != http::status::ok) {
        co_return why.fail(failure_kind::unavailable, "get object", "platform", statusText(*response));
    }
    co_return platform::decodeObject(kind, response->body(), why, answer->era);
}

auto store_client::list(std::string kind, last_reason &why, read_freshness freshness)
    -> asio::awaitable<std::optional<object_list>>
{
    auto listed = object_list();
    auto unreadable = std::size_t(0);
    auto after = std::string();
    auto pageEnds = std::set<std::string>();
    while (true) {
        auto sent = sent_state::notSent;
        const auto knownRevision = m_latestRevision.load(std::memory_order_relaxed);
        const auto answer =
            co_await call(makeRequest(http::verb::get, platform::pageTarget(kind, after, freshness)), true, sent, why);
        if (!answer) {
            co_return std::nullopt;
        }
        const auto *response = &answer->response;
        if (response->result() != http::status::ok) {
            co_return why.fail(failure_kind::unavailable, "list objects", "platform", statusText(*response));
        }
        auto page = platform::decodePage(kind, response->body(), unreadable, why, answer->era);
        if (!page) {
            co_return std::nullopt;
        }
        const auto isCurrent = freshness == read_freshness::current;
        const auto isNewEra = isCurrent && beginUnstatedEra(page->revision, knownRevision);
        if (isNewEra || (!after.empty() && answer->era != eraOf(listed.revision))) {
            // Pages of two eras are no list: it begins anew.
            listed = object_list();
            after.clear();
            pageEnds.clear();
            continue;
        }
        if (isCurrent) {
            noteRevision(page->revision);
        }
        // Later pages may lack changes made after the first page's revision; a watch from that revision delivers them.
        listed.revision = after.empty() ? page->revision : listed.revision;
        std::move(page->objects.begin(), page->objects.end(), std::back_inserter(listed.objects));
        if (!page->hasMore) {
            break;
        }
        // Without this check, a store that reads the name of a page's end differently would return that page for ever.
        if (!page->lastName || !pageEnds.insert(*page->lastName).second) {
            co_return why.fail(failure_kind::protocolViolation, "list objects", "platform",
                               "a page without a next one");
        }
        after = std::move(*page->lastName);
    }
    if (unreadable > 0) {
        log_line(log_level::warning, "objects_unreadable").with("kind", kind).with("count", unreadable);
    }
    co_return listed;
}

auto store_client::instances(last_reason &why) -> asio::awaitable<std::optional<instance_snapshot>>
{
    const auto listed = co_await list(std::string(instanceKind), why);
    if (!listed) {
        co_return std::nullopt;
    }
    auto snapshot = instance_snapshot{ .revision = listed->revision, .instances = {} };
    for (const auto &object : listed->objects) {
        auto reason = last_reason();
        if (auto instance = parseInstance(object, reason)) {
            snapshot.instances.push_back(std::move(*instance));
        } else {
            log_line(log_level::warning, "instance_unreadable").with("name", object.name).with("reason", reason.text());
        }
    }
    co_return snapshot;
}

auto store_client::create(std::string kind, std::string name, std::string value, last_reason &why)
    -> asio::awaitable<write_outcome>
{
    auto request = makeRequest(http::verb::post, platform::kindTarget(kind));
    request.body() = platform::encodeObject(name, value, std::nullopt);
    auto outcome = co_await write(std::move(request), kind, why);
    if (outcome.result == write_result::conflict && outcome.current.revision == 0) {
        // The response to a conflict does not always contain the existing object.
        auto reason = last_reason();
        auto current = co_await get(std::move(kind), std::move(name), reason);
        outcome.current = current ? std::move(*current) : stored_object();
    }
    co_return outcome;
}

auto store_client::update(std::string kind, std::string name, std::string value, std::uint64_t revision,
                          last_reason &why) -> asio::awaitable<write_outcome>
{
    if (isOfEarlierEra(revision)) {
        co_return co_await conflictWithCurrent(std::move(kind), std::move(name), why);
    }
    auto request = makeRequest(http::verb::put, platform::objectTarget(kind, name));
    request.body() = platform::encodeObject(name, value, revision);
    co_return co_await write(std::move(request), kind, why);
}

auto store_client::remove(std::string kind, std::string name, std::uint64_t revision, last_reason &why)
    -> asio::awaitable<write_outcome>
{
    if (isOfEarlierEra(revision)) {
        co_return co_await conflictWithCurrent(std::move(kind), std::move(name), why);
    }
    auto request = makeRequest(http::verb::delete_, platform::objectTargetAt(kind, name, revision));
    co_return co_await write(std::move(request), kind, why);
}

auto store_client::write(http_request request, std::string kind, last_reason &why) -> asio::awaitable<write_outcome>
{
    auto sent = sent_state::notSent;
    const auto creating = request.method() == http::verb::post;
    const auto answer = co_await call(std::move(request), false, sent, why);
    const auto *response = answer ? &answer->response : nullptr;
    if (response == nullptr) {
        co_return write_outcome{ sent == sent_state::notSent ? write_result::notSent : write_result::unknown, {} };
    }
    if (http::to_status_class(response->result()) == http::status_class::successful) {
        auto reason = last_reason();
        auto stored = platform::decodeObject(kind, response->body(), reason, answer->era);
        co_return write_outcome{ write_result::written, stored ? std::move(*stored) : stored_object() };
    }
    if (response->result() == http::status::conflict) {
        why.fail(failure_kind::conflict, "write object", "platform", "another write came first");
        auto reason = last_reason();
        auto current = platform::decodeObject(kind, response->body(), reason, answer->era);
        co_return write_outcome{ write_result::conflict, current ? std::move(*current) : stored_object() };
    }
    if (!creating && response->result() == http::status::not_found) {
        why.fail(failure_kind::notFound, "write object", "platform", "no such object");
        co_return write_outcome{ write_result::conflict, {} };
    }
    if (isRefusal(response->result())) {
        why.fail(refusalKind(response->result()), "write object", "platform", statusText(*response));
        co_return write_outcome{ write_result::notSent, {} };
    }
    why.fail(failure_kind::unknownOutcome, "write object", "platform", statusText(*response));
    co_return write_outcome{ write_result::unknown, {} };
}

auto store_client::call(http_request request, bool retryable, sent_state &sent, last_reason &why)
    -> asio::awaitable<std::optional<store_answer>>
{
    auto state = call_context{ .deadline = std::chrono::steady_clock::now() + m_options.timeout,
                               .retryable = retryable,
                               .newConnectionOnly = false };
    request.prepare_payload();
    const auto attempts = m_options.addresses.size() + 1;
    for (auto tried = std::size_t(0); tried < attempts; ++tried) {
        sent = sent_state::notSent;
        auto answer = co_await attempt(state, request, sent, why);
        if (answer) {
            recordAnswerTime();
            co_return answer;
        }
        state.newConnectionOnly = true;
        const auto mayRetry = retryable || sent == sent_state::notSent;
        // When a new connection to the only address failed, a further attempt would only add load and fail as well.
        const auto mayRetryHelp = state.reusedConnection || m_options.addresses.size() > 1;
        if (!mayRetry || !mayRetryHelp || std::chrono::steady_clock::now() >= state.deadline) {
            break;
        }
    }
    m_failures.add();
    co_return std::nullopt;
}

auto store_client::attempt(call_context &state, http_request request, sent_state &sent, last_reason &why)
    -> asio::awaitable<std::optional<store_answer>>
{
    m_calls.add();
    const auto eraAtRequest = era();
    const auto address = preferredAddress();
    request.set(http::field::host, address);
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(state.deadline - std::chrono::steady_clock::now());
    // A read leaves time for an attempt at another address. So does connecting, because nothing is sent if it fails.
    const auto half = std::max(remaining / 2, std::chrono::milliseconds(1));
    auto connection = state.newConnectionOnly ? nullptr : takeIdle(address);
    state.reusedConnection = connection != nullptr;
    if (!connection) {
        connection = std::make_shared<store_connection>(m_executor, address);
        const auto connected = co_await connection->connect(half, why);
        if (!connected) {
            switchAddress(address);
            co_return std::nullopt;
        }
    }
    auto response = co_await connection->exchange(std::move(request), state.retryable ? half : remaining, sent, why);
    if (!response) {
        // The fault may affect the idle connections to the same address, too.
        closeIdle(address);
        switchAddress(address);
        co_return std::nullopt;
    }
    if (response->keep_alive()) {
        returnIdle(std::move(connection));
    }
    const auto eraOfResponse = eraOfAnswer(*response, eraAtRequest, why);
    if (!eraOfResponse) {
        co_return std::nullopt;
    }
    co_return store_answer{ .response = std::move(*response), .era = *eraOfResponse };
}

auto store_client::takeIdle(const std::string &address) -> std::shared_ptr<store_connection>
{
    const auto lock = std::lock_guard(m_mutex);
    const auto oldest = std::chrono::steady_clock::now() - m_options.idleLimit;
    std::erase_if(m_idle, [&](const auto &idle) { return idle.idleSince < oldest; });
    for (auto entry = m_idle.rbegin(); entry != m_idle.rend(); ++entry) {
        if (entry->connection->address() != address) {
            continue;
        }
        auto connection = std::move(entry->connection);
        m_idle.erase(std::next(entry).base());
        return connection->isReusable() ? connection : nullptr;
    }
    return nullptr;
}

auto store_client::returnIdle(std::shared_ptr<store_connection> connection) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_idle.push_back({ std::move(connection), std::chrono::steady_clock::now() });
    if (m_idle.size() > maxIdleConnections) {
        m_idle.pop_front();
    }
}

auto store_client::closeIdle(const std::string &address) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    std::erase_if(m_idle, [&](const auto &idle) { return idle.connection->address() == address; });
}

auto store_client::preferredAddress() const -> std::string
{
    return m_options.addresses[m_preferred.load(std::memory_order_relaxed) % m_options.addresses.size()];
}

auto store_client::switchAddress(const std::string &failed) -> void
{
    auto expected = m_preferred.load(std::memory_order_relaxed);
    if (m_options.addresses[expected % m_options.addresses.size()] == failed) {
        m_preferred.compare_exchange_strong(expected, expected + 1, std::memory_order_relaxed);
    }
}

auto store_client::recordAnswerTime() -> void
{
    m_lastAnswerTime.store(std::chrono::steady_clock::now().time_since_epoch().count(), std::memory_order_relaxed);
}

auto store_client::timeSinceLastAnswer() const -> duration
{
    const auto last = m_lastAnswerTime.load(std::memory_order_relaxed);
    return last == 0 ? duration::max() : std::chrono::steady_clock::now() - time_point(duration(last));
}

} // namespace marjoramloom
