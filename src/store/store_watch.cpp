#include "marjoramloom/core/log.h"
#include "marjoramloom/store/retry_backoff.h"
#include "marjoramloom/store/store_client.h"
#include "platform/object_format.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/deferred.hpp>
#include <boost/asio/experimental/parallel_group.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace asio = boost::asio;
namespace http = boost::beast::http;

auto store_client::watch(std::vector<std::string> kinds, std::uint64_t afterRevision, watch_callback callback)
    -> asio::awaitable<watch_end>
{
    assert(!kinds.empty());
    if (kinds.size() == 1) {
        co_return co_await watchKind(std::move(kinds.front()), afterRevision, std::move(callback));
    }
    const auto strand = asio::make_strand(co_await asio::this_coro::executor);
    const auto spawn = [&](std::string kind) {
        return asio::co_spawn(strand, watchKind(std::move(kind), afterRevision, callback), asio::deferred);
    };
    auto watches = std::vector<decltype(spawn(std::string()))>();
    for (auto &kind : kinds) {
        watches.push_back(spawn(std::move(kind)));
    }
    // The parallel group completes only after all its watches ended, so they may refer to this client.
    const auto [completionOrder, failures, ends] =
        co_await asio::experimental::make_parallel_group(std::move(watches))
            .async_wait(asio::experimental::wait_for_one(), asio::use_awaitable);
    const auto first = completionOrder.front();
    if (failures[first]) {
        std::rethrow_exception(failures[first]);
    }
    co_return ends[first];
}

auto store_client::watchKind(std::string kind, std::uint64_t revision, watch_callback callback)
    -> asio::awaitable<watch_end>
{
    auto backoff = retry_backoff(m_options.retryFirst, m_options.retryLimit, std::random_device()());
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    auto connection = std::shared_ptr<store_connection>();
    while (true) {
        auto why = last_reason();
        const auto nextCall = system_clock_source().now() + m_options.throttle.minInterval;
        const auto end = co_await pollOnce(connection, kind, revision, callback, why);
        if (end == watch_end::idle) {
            backoff.reset();
            if (system_clock_source().now() < nextCall) {
                timer.expires_at(nextCall);
                co_await timer.async_wait(asio::use_awaitable);
            }
            continue;
        }
        if (end != watch_end::broken) {
            co_return end;
        }
        connection.reset();
        m_reconnects.add();
        log_line(log_level::warning, "watch_redial")
            .with("kind", kind)
            .with("reason", why.text())
            .with("revision", revisionText(revision));
        if (!m_options.reconnectsWatches) {
            co_return watch_end::broken;
        }
        timer.expires_after(backoff.next(m_options.throttle.minRetryWait));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

auto store_client::pollOnce(std::shared_ptr<store_connection> &connection, const std::string &kind,
                            std::uint64_t &revision, watch_callback &callback, last_reason &why)
    -> asio::awaitable<watch_end>
{
    if (revision > 0 && isOfEarlierEra(revision)) {
        co_return watch_end::expired;
    }
    const auto address = preferredAddress();
    if (!connection || connection->address() != address) {
        connection = std::make_shared<store_connection>(m_executor, address);
        const auto connected = co_await connection->connect(m_options.timeout, why);
        if (!connected) {
            switchAddress(address);
            co_return watch_end::broken;
        }
    }
    auto request = http_request(http::verb::get, platform::watchTarget(kind, revision, m_options.watchPollWait), 11);
    request.set(http::field::host, address);
    request.keep_alive(true);
    const auto requestedAt = boot_clock::now();
    const auto eraAtRequest = era();
    auto sent = sent_state::notSent;
    m_calls.add();
    const auto response = co_await connection->exchange(std::move(request), m_options.watchTimeout, sent, why);
    const auto eraOfResponse = response ? eraOfAnswer(*response, eraAtRequest, why) : std::nullopt;
    // In a new era, the same number stands for another change, so the events after it are not those that are missing.
    const auto isNewEra = eraOfResponse && revision > 0 && *eraOfResponse > eraOf(revision);
    if (eraOfResponse && (isNewEra || response->result() == http::status::gone)) {
        co_return watch_end::expired;
    }
    auto batch = std::optional<platform::event_batch>();
    if (eraOfResponse && response->result() == http::status::ok) {
        batch = platform::decodeEvents(kind, response->body(), why, *eraOfResponse);
    } else if (eraOfResponse) {
        why.fail(failure_kind::unavailable, "watch", address, "status " + std::to_string(response->result_int()));
    }
    if (!batch) {
        switchAddress(address);
        co_return watch_end::broken;
    }
    recordAnswerTime();
    if (!response->keep_alive()) {
        connection.reset();
    }
    if (batch->unreadable > 0) {
        log_line(log_level::warning, "objects_unreadable").with("kind", kind).with("count", batch->unreadable);
    }
    for (const auto &event : batch->events) {
        if (event.revision > revision && !callback(event)) {
            co_return watch_end::stopped;
        }
    }
    revision = std::max(revision, batch->revision);
    noteRevision(revision);
    const auto bookmark = watch_event{
        .kind = watch_event_kind::bookmark, .revision = revision, .object = {}, .requestedAt = requestedAt
    };
    co_return callback(bookmark) ? watch_end::idle : watch_end::stopped;
}

} // namespace marjoramloom
