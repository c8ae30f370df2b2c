#include "marjoramloom/gateway/router_announcer.h"

#include "marjoramloom/core/endpoint.h"
#include "marjoramloom/core/hash.h"
#include "marjoramloom/core/log.h"
#include "marjoramloom/store/retry_backoff.h"
#include "platform/json_fields.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace marjoramloom {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Kind of the objects by which routers find each other.
constexpr std::string_view routerKind = "routers";
/// Waits between tries to join: a router serves by its own view meanwhile.
constexpr auto joinRetryFirst = std::chrono::milliseconds(200);
constexpr auto joinRetryLimit = std::chrono::milliseconds(3'000);
/// Routers that start together are found by the first look after this.
constexpr auto firstLook = std::chrono::seconds(2);
/// Later ones are told by the routers themselves; this finds those whose message was lost.
constexpr auto nextLook = std::chrono::seconds(15);

auto decodeRouter(const stored_object &object, last_reason &why) -> std::optional<router_identity>
{
    auto error = boost::system::error_code();
    const auto parsed = json::parse(object.value, error);
    const auto *fields = error ? nullptr : parsed.if_object();
    if (fields == nullptr) {
        return why.fail(failure_kind::protocolViolation, "parse router", object.name, "not a JSON object");
    }
    auto address = platform::textField(*fields, "address");
    auto dataCentre = platform::textField(*fields, "data_centre");
    const auto cores = platform::numberField(*fields, "cores");
    if (!address || !dataCentre || !cores) {
        return why.fail(failure_kind::protocolViolation, "parse router", object.name, "a field is missing");
    }
    auto identity =
        router_identity{ .address = std::move(*address), .dataCentre = std::move(*dataCentre), .cores = *cores };
    if (!parseEndpoint(identity.address, why)) {
        return std::nullopt;
    }
    return identity;
}

} // namespace

router_announcer::router_announcer(asio::any_io_executor executor, store_client &client, std::string instance,
                                   router_identity self, std::function<void(router_identity)> onRouter)
    : m_executor(std::move(executor))
    , m_client(client)
    , m_instance(std::move(instance))
    , m_self(std::move(self))
    , m_onRouter(std::move(onRouter))
{
}

auto router_announcer::join() -> asio::awaitable<void>
{
    auto backoff = retry_backoff(joinRetryFirst, joinRetryLimit, hash64(m_self.address));
    auto timer = asio::steady_timer(m_executor);
    // Written before the others are read: of two routers that start together, one finds the other at least.
    while (true) {
        auto why = last_reason();
        if (co_await announce(why) && co_await readRouters(read_freshness::current, why)) {
            break;
        }
        log_line(log_level::warning, "join_failed").with("reason", why.text());
        timer.expires_after(backoff.next());
        co_await timer.async_wait(asio::use_awaitable);
    }
}

auto router_announcer::lookForOthers() -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(m_executor, firstLook);
    while (true) {
        co_await timer.async_wait(asio::use_awaitable);
        auto why = last_reason();
        if (!co_await readRouters(read_freshness::mayBeStale, why)) {
            log_line(log_level::warning, "routers_unread").with("reason", why.text());
        }
        timer.expires_after(nextLook);
    }
}

auto router_announcer::withdraw() -> asio::awaitable<void>
{
    auto why = last_reason();
    const auto outcome = co_await m_client.remove(std::string(routerKind), m_instance, m_revision, why);
    if (outcome.result != write_result::written) {
        // The others find out by its silence, too.
        log_line(log_level::warning, "withdraw_failed").with("reason", why.text());
    }
}

auto router_announcer::announce(last_reason &why) -> asio::awaitable<bool>
{
    const auto value = json::serialize(
        json::object{ { "address", m_self.address }, { "data_centre", m_self.dataCentre }, { "cores", m_self.cores } });
    auto outcome = co_await m_client.create(std::string(routerKind), m_instance, value, why);
    if (outcome.result == write_result::conflict && outcome.current.revision != 0 && outcome.current.value != value) {
        outcome = co_await m_client.update(std::string(routerKind), m_instance, value, outcome.current.revision, why);
    } else if (outcome.result == write_result::conflict && outcome.current.value == value) {
        outcome.result = write_result::written;
    }
    m_revision = outcome.current.revision;
    co_return outcome.result == write_result::written;
}

auto router_announcer::readRouters(read_freshness freshness, last_reason &why) -> asio::awaitable<bool>
{
    const auto listed = co_await m_client.list(std::string(routerKind), why, freshness);
    if (!listed) {
        co_return false;
    }
    for (const auto &object : listed->objects) {
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
