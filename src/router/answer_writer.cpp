#include "router/answer_writer.h"

#include "marjoramloom/call/completion_body.h"
#include "router/refusal_reply.h"

namespace marjoramloom {

namespace asio = boost::asio;

answer_writer::answer_writer(http_exchange &exchange, std::string requestId, std::string model, bool stream)
    : m_exchange(exchange)
    , m_requestId(std::move(requestId))
    , m_model(std::move(model))
    , m_stream(stream)
{
}

auto answer_writer::start() -> asio::awaitable<bool>
{
    auto headers = std::vector<std::pair<std::string, std::string>>();
    headers.emplace_back("X-Request-Id", m_requestId);
    co_return co_await m_exchange.startEvents(std::move(headers));
}

auto answer_writer::deliver(const answer_piece &piece) -> asio::awaitable<bool>
{
    m_nextSequence = piece.sequence + 1;
    m_finishReason = piece.finishReason;
    if (!m_stream) {
        m_text += piece.text;
        co_return true;
    }
    if (!m_exchange.answered() && !co_await start()) {
        co_return false;
    }
    auto event = streamEvent(m_requestId, m_model, piece);
    co_return co_await m_exchange.writeEvent(std::move(event));
}

auto answer_writer::finish(const call_result &result) -> asio::awaitable<void>
{
    if (m_stream) {
        if (!m_exchange.answered() && !co_await start()) {
            co_return;
        }
        auto end = streamEnd(m_requestId, m_nextSequence);
        const auto sent = co_await m_exchange.writeEvent(std::move(end));
        if (sent) {
            co_await m_exchange.finishEvents();
        }
        co_return;
    }
    auto answer = http_reply();
    answer.body = completionAnswer(m_requestId, m_model, m_text, m_finishReason, result);
    answer.headers.emplace_back("X-Request-Id", m_requestId);
    co_await m_exchange.reply(std::move(answer));
}

auto answer_writer::fail(const call_result &result) -> asio::awaitable<void>
{
    if (m_exchange.answered()) {
        auto event = streamError(m_requestId, result.reason);
        co_await m_exchange.writeEvent(std::move(event));
        m_exchange.abortEvents();
        co_return;
    }
    auto answer = result.state == call_state::notRun ? notRunReply(result.reason) : errorReply(result.reason);
    if (result.state == call_state::unknownOutcome) {
        answer.status = statusOf(failure_kind::unknownOutcome);
    }
    answer.headers.emplace_back("X-Request-Id", m_requestId);
    co_await m_exchange.reply(std::move(answer));
}

} // namespace marjoramloom
