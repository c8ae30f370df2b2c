#include "marjoramloom/gateway/knowledge/router_discovery.h"

#include "marjoramloom/core/endpoint.h"
#include "marjoramloom/core/hash.h"
#include "marjoramloom/core/log.h"
#include "marjoramloom/store/retry_backoff.h"
#include "platform/json_fields.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace marjoramloom {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Kind of the objects in the store by which routers discover each other.
constexpr std::string_view routerKind = "routers";
/// Shortest and longest wait before another attempt to join; meanwhile the router serves without the other routers.
constexpr auto firstJoinRetryWait = std::chrono::milliseconds(200);
constexpr auto maxJoinRetryWait = std::chrono::milliseconds(3'000);
/// Delay of the first poll, which discovers routers that started at the same time.
constexpr auto firstPollDelay = std::chrono::seconds(2);
/// Period of the later polls. Routers that start later introduce themselves; the polls discover those whose datagram
/// was lost.
constexpr auto pollPeriod = std::chrono::seconds(15);

auto decodeRouter(const stored_object &object, last_reason &why) -> std::optional<router_identity>
{
    auto error = boost::system::error_code();
    const auto parsed = json::parse(object.value, error);
    const auto *fields = error ? nullptr : parsed.if_object();
    if (fields == nullptr) {
        return why.fail(failure_kind::protocolViolation, "parse router", object.name, "not a JSON object");
    }
    auto address = platform::stringField(*fields, "address");
    auto dataCentre = platform::stringField(*fields, "data_centre");
    const auto cores = platform::numberField(*fields, "cores");
    if (!address || !dataCentre || !cores) {
        return why.fail(failure_kind::protocolViolation, "parse router", object.name, "a field is missing");
    }
    auto identity = router_identity{ .address = std::move(*address),
                                     .dataCentre = std::move(*dataCentre),
                                     .cores = *cores,
                                     .region = platform::stringField(*fields, "region").value_or("") };
    if (!parseEndpoint(identity.address, why)) {
        return std::nullopt;
    }
    return identity;
}

} // namespace

router_discovery::router_discovery(asio::any_io_executor executor, store_client &client, gateway_state &state,
                                   std::string instance, router_identity self,
                                   std::function<void(router_identity)> onRouter)
    : m_executor(std::move(executor))
    , m_client(client)
    , m_instance(std::move(instance))
    , m_self(std::move(self))
    , m_versions(client, state, std::string(routerKind))
    , m_onRouter(std::move(onRouter))
{
}

auto router_discovery::join() -> asio::awaitable<void>
{
    auto backoff = retry_backoff(firstJoinRetryWait, maxJoinRetryWait, hash64(m_self.address));
    auto timer = asio::steady_timer(m_executor);
    // The registration is written before the others are read, so that of two routers that start at the same time at
    // least one discovers the other.
    while (true) {
        auto why = last_reason();
        if (co_await writeRegistration(why) && co_await readRouters(read_freshness::current, why)) {
            break;
        }
        log_line(log_level::warning, "join_failed").with("reason", why.text());
        timer.expires_after(backoff.next());
        co_await timer.async_wait(asio::use_awaitable);
    }
}

auto router_discovery::pollRouters() -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(m_executor);
    auto nextPoll = system_clock_source().now() + firstPollDelay;
    while (true) {
        timer.expires_after(version_record::WRITE_PERIOD);
        co_await timer.async_wait(asio::use_awaitable);
        co_await m_versions.writeChanges();
        if (system_clock_source().now() < nextPoll) {
            continue;
        }
        auto why = last_reason();
        if (!co_await readRouters(read_freshness::mayBeStale, why)) {
            log_line(log_level::warning, "routers_unread").with("reason", why.text());
        }
        nextPoll = system_clock_source().now() + pollPeriod;
    }
}

auto router_discovery::unregister() -> asio::awaitable<void>
{
    auto why = last_reason();
    const auto outcome = co_await m_client.remove(std::string(routerKind), m_instance, m_revision, why);
    if (outcome.result != write_result::written) {
        // Not fatal: the other routers also notice that this router stops answering.
        log_line(log_level::warning, "withdraw_failed").with("reason", why.text());
    }
}

auto router_discovery::writeRegistration(last_reason &why) -> asio::awaitable<bool>
{
    const auto value = json::serialize(json::object{ { "address", m_self.address },
                                                     { "data_centre", m_self.dataCentre },
                                                     { "cores", m_self.cores },
                                                     { "region", m_self.region } });
    auto outcome = co_await m_client.create(std::string(routerKind), m_instance, value, why);
    if (outcome.result == write_result::conflict && outcome.current.revision != 0 && outcome.current.value != value) {
        outcome = co_await m_client.update(std::string(routerKind), m_instance, value, outcome.current.revision, why);
    } else if (outcome.result == write_result::conflict && outcome.current.value == value) {
        outcome.result = write_result::written;
    }
    m_revision = outcome.current.revision;
    co_return outcome.result == write_result::written;
}

auto router_discovery::readRouters(read_freshness freshness, last_reason &why) -> asio::awaitable<bool>
{
    const auto listed = co_await m_client.list(std::string(routerKind), why, freshness);
    if (!listed) {
        co_return false;
    }
    const auto isRecord = [](const stored_object &object) {
        return object.name == version_record::NAME;
    };
    const auto record = std::find_if(listed->objects.begin(), listed->objects.end(), isRecord);
    const auto *found = record == listed->objects.end() ? nullptr : &*record;
    if (freshness == read_freshness::current) {
        m_versions.apply(found);
    } else {
        m_versions.compare(found);
    }
    for (const auto &object : listed->objects) {
        if (isRecord(object)) {
            continue;
        }
        auto reason = last_reason();
        auto identity = decodeRouter(object, reason);
        if (!identity) {
            log_line(log_level::warning, "router_unreadable").with("name", object.name).with("reason", reason.text());
        } else if (identity->address != m_self.address) {
            m_onRouter(std::move(*identity));
        }
    }
    co_return true;
}

} // namespace marjoramloom
