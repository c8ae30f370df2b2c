#include "marjoramloom/call/retry_budget.h"
#include "marjoramloom/call/start_gate.h"
#include "marjoramloom/core/log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace detail {

/// Creates the ticket for the next attempt of a plain call.
auto makePlainTicket(const call_environment &environment, const plain_work &work, ticket_id id,
                     std::vector<object_id> excluded) -> ticket;

/// Replaces \p result by that of the next attempt, but keeps unknownOutcome if an earlier attempt may have run.
auto mergeAttempt(plain_result &result, plain_result attempt) -> void;

/// Whether a retry may follow \p attempt, after \p retries earlier retries. Takes the retry from the budget.
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
        const auto granted = co_await source.acquire(waiting, control, why);
        if (!granted) {
            result.reason = result.state == call_state::notRun ? why : result.reason;
            co_return result;
        }
        const auto mayStart = co_await mayStartAt(environment.gate, granted->server);
        if (!mayStart) {
            source.settle(granted->ticket, 0);
            excluded.push_back(granted->server);
            continue;
        }
        const auto address = environment.addressOf(granted->server);
        if (!address || control->cancelled()) {
            // This attempt sent nothing, so the state set by earlier attempts is kept.
            source.settle(granted->ticket, 0);
            excluded.push_back(granted->server);
            result.reason.fail(address ? failure_kind::cancelled : failure_kind::notSent, "start call",
                               std::to_string(granted->server.value), address ? "caller left" : "no longer configured");
            if (control->cancelled() || ++retries > work.treatment.retries) {
                co_return result;
            }
            continue;
        }
        log_line(log_level::info, "plain call")
            .with("request", work.request.requestId)
            .with("account", work.accountName)
            .with("service", work.target.name)
            .with("server", granted->server.value)
            .with("address", *address)
            .with("reason", granted->reason);
        auto attempt = co_await callPlainService(*environment.connections, *address, work.request, work.limits);
        const auto mayHaveRun = attempt.state != call_state::notRun;
        source.settle(granted->ticket, mayHaveRun ? work.target.callCost : 0);
        if (attempt.leaving && environment.onLeaving) {
            environment.onLeaving(granted->server);
        }
        const auto shouldRetry = detail::mayRetryPlain(environment, work, attempt, retries);
        const auto countsAsRetry = !attempt.leaving;
        detail::mergeAttempt(result, std::move(attempt));
        if (!shouldRetry || control->cancelled()) {
            co_return result;
        }
        excluded.push_back(granted->server);
        if (countsAsRetry && environment.retries) {
            auto backoffTimer = boost::asio::steady_timer(control->executor(), environment.retries->backoff(retries));
            auto ignored = boost::system::error_code();
            co_await backoffTimer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
        retries += countsAsRetry ? 1 : 0;
    }
}

} // namespace marjoramloom
