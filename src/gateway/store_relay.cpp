#include "marjoramloom/gateway/store_relay.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace asio = boost::asio;

store_relay::store_relay(asio::any_io_executor executor, platform_feed &feed, gateway_state &state, senders sending)
    : m_timer(std::move(executor))
    , m_feed(feed)
    , m_state(state)
    , m_sending(std::move(sending))
    , m_duty(system_clock_source().now())
    , m_questions(state.counters.at("marjoramloom_store_questions_total"))
    , m_proofs(state.counters.at("marjoramloom_store_relayed_proofs_total"))
{
}

auto store_relay::run() -> asio::awaitable<void>
{
    while (true) {
        const auto now = system_clock_source().now();
        const auto isOnDuty = m_duty.isOnDuty(m_state.roster, now);
        m_feed.setWatching(m_duty.watches(m_state.roster, now), isOnDuty, now);
        if (!isOnDuty) {
            ask(now); // Also while it watches in place of a router that does not answer, to hear when one does.
        }
        auto error = boost::system::error_code();
        m_timer.expires_after(QUESTION_PERIOD);
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

auto store_relay::noteJoined() -> void
{
    m_duty.noteJoined(system_clock_source().now());
    m_timer.cancel();
}

/// Asks the first watcher that answers; where the question before it was not answered, the one after it.
auto store_relay::ask(time_point now) -> void
{
    auto target = std::uint64_t(0);
    auto skip = m_open.empty() ? std::size_t(0) : m_open.size() % watch_duty::WATCHERS;
    for (const auto id : m_state.roster.watchOrder()) {
        if (id == m_state.roster.self() || !m_state.roster.isResponsive(id, now)) {
            continue;
        }
        target = id;
        if (skip-- == 0) {
            break;
        }
    }
    if (target == 0) {
        return;
    }
    const auto question = store_question{ .number = ++m_nextNumber, .serversRevision = m_feed.serversRevision() };
    m_open.emplace(question.number, boot_clock::now());
    if (m_open.size() > OPEN_QUESTIONS) {
        m_open.erase(m_open.begin());
    }
    m_state.roster.noteRequestSent(target, now);
    m_questions.add();
    m_sending.question(target, question);
}

auto store_relay::answer(std::uint64_t router, const store_question &question) -> void
{
    auto news = m_feed.newsSince(question.serversRevision);
    news.number = question.number;
    m_followers[router] = { system_clock_source().now(), news.serversRevision };
    m_sending.news(router, news);
}

auto store_relay::take(const store_news &news) -> void
{
    const auto asked = m_open.find(news.number);
    const auto askedAt = asked == m_open.end() ? std::nullopt : std::optional(asked->second);
    const auto isCurrent = m_feed.take(news, askedAt);
    if (!askedAt) {
        return;
    }
    // What was asked before is answered by this, too.
    m_open.erase(m_open.begin(), std::next(asked));
    const auto oldest = m_state.settings.keyLifetime / PROOFS_PER_LIFETIME;
    const auto isProved = news.proofAge ? *news.proofAge <= oldest : news.configurationRevision == 0;
    if (isCurrent && isProved) {
        m_proofs.add();
        m_duty.noteCurrent(system_clock_source().now());
    }
}

auto store_relay::tellFollowers() -> void
{
    const auto now = system_clock_source().now();
    std::erase_if(m_followers, [&](const auto &known) { return now - known.second.askedAt > FOLLOWER_MEMORY; });
    for (auto &[router, known] : m_followers) {
        const auto news = m_feed.newsSince(known.toldUpTo);
        known.toldUpTo = news.serversRevision;
        m_sending.news(router, news);
    }
}

} // namespace marjoramloom
