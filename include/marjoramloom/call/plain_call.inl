#include "marjoramloom/call/retry_budget.h"
#include "marjoramloom/call/start_gate.h"
#include "marjoramloom/core/log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace detail {

/// The ticket of a plain call's next attempt.
auto makePlainTicket(const call_environment &environment, const plain_work &work, ticket_id id,
                     std::vector<object_id> excluded) -> ticket;

/// Takes the next attempt's failure into \p result; a call that may have run stays so.
auto absorbAttempt(plain_result &result, plain_result attempt) -> void;

/// Whether another attempt may follow one that ended as \p attempt, the \p retries-th failure.
auto mayRetryPlain(const call_environment &environment, const plain_work &work, const plain_result &attempt,
                   std::uint32_t retries) -> bool;

} // namespace detail

template<grant_source Source>
auto runPlainCall(const call_environment &environment, Source &source, std::shared_ptr<call_control> control,
                  plain_work work) -> boost::asio::awaitable<plain_result>
{
    auto result = plain_result();
    auto excluded = std::vector<object_id>();
    auto retries = std::uint32_t(0);
    if (environment.retries) {
        environment.retries->onCall();
    }
    while (true) {
        const auto waiting = detail::makePlainTicket(environment, work, source.nextTicket(), excluded);
        auto why = last_reason();
        const auto place = co_await source.acquire(waiting, control, why);
        if (!place) {
            result.reason = result.state == call_state::notRun ? why : result.reason;
            co_return result;
        }
        const auto mayStart = co_await mayStartAt(environment.gate, place->server);
        if (!mayStart) {
            source.settle(place->ticket, 0);
            excluded.push_back(place->server);
            continue;
        }
        const auto address = environment.addressOf(place->server);
        if (!address || control->cancelled()) {
            // Nothing of this attempt was sent; what earlier ones did stays true.
            source.settle(place->ticket, 0);
            excluded.push_back(place->server);
            result.reason.fail(address ? failure_kind::cancelled : failure_kind::notSent, "start call",
                               std::to_string(place->server.value), address ? "caller left" : "no longer configured");
            if (control->cancelled() || ++retries > work.treatment.retries) {
                co_return result;
            }
            continue;
        }
        log_line(log_level::info, "plain call")
            .with("request", work.request.requestId)
            .with("account", work.accountName)
            .with("service", work.target.name)
            .with("server", place->server.value)
            .with("address", *address)
            .with("reason", place->reason);
        auto attempt = co_await callPlainService(*environment.connections, *address, work.request, work.limits);
        const auto ran = attempt.state != call_state::notRun;
        source.settle(place->ticket, ran ? work.target.callCost : 0);
        if (attempt.leaving && environment.onLeaving) {
            environment.onLeaving(place->server);
        }
        const auto retry = detail::mayRetryPlain(environment, work, attempt, retries);
        const auto counted = !attempt.leaving;
        detail::absorbAttempt(result, std::move(attempt));
        if (!retry || control->cancelled()) {
            co_return result;
        }
        excluded.push_back(place->server);
        if (counted && environment.retries) {
            auto pause = boost::asio::steady_timer(control->executor(), environment.retries->backoff(retries));
            auto ignored = boost::system::error_code();
            co_await pause.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
        retries += counted ? 1 : 0;
    }
}

} // namespace marjoramloom
