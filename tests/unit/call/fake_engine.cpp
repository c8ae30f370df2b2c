#include "fake_engine.h"

#include "marjoramloom/core/hash.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

namespace marjoramloom::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using boost::system::error_code;

namespace {

auto eventText(const std::string &id, std::uint64_t sequence, const std::string &bodyId, const std::string &token,
               const std::string &finishReason, std::uint64_t generated) -> std::string
{
    const auto finish = finishReason.empty() ? json::value(nullptr) : json::value(finishReason);
    const auto choice =
        json::object{ { "index", 0 }, { "delta", json::object{ { "content", token } } }, { "finish_reason", finish } };
    auto body = json::object{ { "id", bodyId }, { "choices", json::array{ choice } } };
    if (!finishReason.empty()) {
        body["usage"] =
            json::object{ { "prompt_tokens", 10 }, { "completion_tokens", generated }, { "cached_tokens", 0 } };
    }
    return "id: " + id + ':' + std::to_string(sequence) + "\ndata: " + json::serialize(body) + "\n\n";
}

} // namespace

auto answerTokens(json::array messages) -> std::vector<std::string>
{
    if (!messages.empty() && messages.back().at("role") == "assistant") {
        messages.pop_back();
    }
    const auto seed = hash64(json::serialize(messages));
    auto tokens = std::vector<std::string>();
    for (auto index = std::uint64_t(0); index < 6 + seed % 20; ++index) {
        tokens.push_back("w" + std::to_string(hash64(std::to_string(index), seed) % 10'000) + ' ');
    }
    return tokens;
}

auto answerText(const std::string &question) -> std::string
{
    auto whole = std::string();
    for (const auto &token : answerTokens(json::parse(questionBody(question)).at("messages").as_array())) {
        whole += token;
    }
    return whole;
}

auto questionBody(const std::string &question, std::uint64_t maxTokens) -> std::string
{
    const auto message = json::object{ { "role", "user" }, { "content", question } };
    auto body = json::object{ { "model", "m" }, { "messages", json::array{ message } }, { "stream", false } };
    if (maxTokens > 0) {
        body["max_tokens"] = maxTokens;
    }
    return json::serialize(body);
}

fake_engine::fake_engine(asio::io_context &context)
    : m_context(context)
    , m_acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
{
    asio::co_spawn(m_context, accept(), asio::detached);
}

fake_engine::~fake_engine()
{
    *m_alive = false;
    die();
}

auto fake_engine::address() const -> std::string
{
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

auto fake_engine::die() -> void
{
    auto ignored = error_code();
    m_acceptor.close(ignored);
    m_streams.clear();
    for (const auto &weak : m_sockets) {
        if (const auto open = weak.lock()) {
            open->close(ignored);
        }
    }
}

auto fake_engine::accept() -> asio::awaitable<void>
{
    const auto alive = m_alive;
    while (*alive) {
        auto error = error_code();
        auto accepted = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        auto peer = std::make_shared<socket>(std::move(accepted));
        m_sockets.push_back(peer);
        ++connections;
        asio::co_spawn(m_context, serve(peer), asio::detached);
    }
}

auto fake_engine::serve(std::shared_ptr<socket> peer) -> asio::awaitable<void>
{
    const auto alive = m_alive;
    auto buffer = boost::beast::flat_buffer();
    auto keepOpen = true;
    while (keepOpen) {
        auto received = request();
        auto error = error_code();
        co_await http::async_read(*peer, buffer, received, asio::redirect_error(asio::use_awaitable, error));
        if (error || !*alive) {
            co_return;
        }
        keepOpen = co_await answer(peer, std::move(received));
        keepOpen = keepOpen && *alive;
    }
    auto ignored = error_code();
    peer->close(ignored);
}

auto fake_engine::answer(std::shared_ptr<socket> peer, request received) -> asio::awaitable<bool>
{
    const auto target = std::string(received.target());
    const auto id = target.substr(target.rfind('/') + 1);
    if (received.method() == http::verb::delete_) {
        cancelled.push_back(id);
        const auto existed = m_streams.erase(id) > 0;
        co_await sendStatus(peer, existed ? 200 : 404, false);
        co_return true;
    }
    if (target == "/v1/load") {
        co_await sendStatus(peer, leaving ? 503 : 200, leaving, R"({"running":1,"waiting":0,"slots":8,"as_of_ms":10})");
        co_return true;
    }
    if (received.method() == http::verb::get) {
        if (!m_streams.contains(id)) {
            co_await sendStatus(peer, 404, false);
            co_return true;
        }
        const auto last = std::string(received["Last-Event-ID"]);
        const auto from = last.empty() ? 0 : std::stoull(last.substr(last.rfind(':') + 1)) + 1;
        co_return co_await sendStream(peer, id, from, nextFault());
    }
    if (leaving) {
        co_await sendStatus(peer, 503, true);
        co_return true;
    }
    const auto planned = nextFault();
    if (planned.fault == engine_fault::refuse) {
        co_await sendStatus(peer, 503, false);
        co_return true;
    }
    const auto started = start(received);
    co_await pause(firstEventDelay);
    co_return co_await sendStream(peer, started, 0, planned);
}

auto fake_engine::start(const request &received) -> std::string
{
    const auto id = std::string(received["X-Request-Id"]);
    const auto body = json::parse(received.body());
    const auto &messages = body.at("messages").as_array();
    auto newStream = stream();
    newStream.finishReason = "stop";
    auto prefix = std::string();
    if (messages.back().at("role") == "assistant") {
        prefix = messages.back().at("content").as_string();
    }
    auto skipped = std::size_t(0);
    for (auto &token : answerTokens(messages)) {
        if (skipped < prefix.size()) {
            skipped += token.size();
        } else {
            newStream.tokens.push_back(std::move(token));
        }
    }
    const auto *limit = body.as_object().if_contains("max_tokens");
    const auto tokenLimit = limit ? limit->to_number<std::size_t>() : newStream.tokens.size();
    if (newStream.tokens.size() > tokenLimit) {
        newStream.tokens.resize(tokenLimit);
        newStream.finishReason = "length";
    }
    if (newStream.tokens.empty()) {
        newStream.tokens.emplace_back();
    }
    m_streams[id] = std::move(newStream);
    executed.push_back(id);
    return id;
}

auto fake_engine::sendStatus(std::shared_ptr<socket> peer, unsigned status, bool leavingHeader, std::string body)
    -> asio::awaitable<void>
{
    auto reply = http::response<http::string_body>(static_cast<http::status>(status), 11);
    if (leavingHeader) {
        reply.set("X-Leaving", "true");
    }
    reply.body() = std::move(body);
    reply.prepare_payload();
    auto ignored = error_code();
    co_await http::async_write(*peer, reply, asio::redirect_error(asio::use_awaitable, ignored));
}

auto fake_engine::sendStream(std::shared_ptr<socket> peer, std::string id, std::uint64_t from, planned_fault planned)
    -> asio::awaitable<bool>
{
    const auto alive = m_alive;
    const auto head =
        std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    auto error = error_code();
    co_await asio::async_write(*peer, asio::buffer(head), asio::redirect_error(asio::use_awaitable, error));
    const auto sent = m_streams[id];
    auto delayedEvent = std::string();
    for (auto sequence = from; sequence < sent.tokens.size() && !error; ++sequence) {
        const auto last = sequence + 1 == sent.tokens.size();
        const auto currentFault = sequence == planned.at ? planned.fault : engine_fault::none;
        auto text = eventText(id, sequence, currentFault == engine_fault::crossBody ? "other-1" : id,
                              sent.tokens[sequence], last ? sent.finishReason : "", sent.tokens.size());
        switch (currentFault) {
        case engine_fault::close:
            co_return false;
        case engine_fault::dieAfter:
            die();
            co_return false;
        case engine_fault::silence:
            co_await pause(std::chrono::hours(1));
            co_return false;
        case engine_fault::repeat:
            text += text;
            break;
        case engine_fault::drop:
            continue;
        case engine_fault::swap:
            delayedEvent = last ? "" : text;
            text = last ? text : "";
            break;
        case engine_fault::crossId:
            text = eventText("other-1", sequence, "other-1", "crossed ", "", 0) + text;
            break;
        case engine_fault::garbage:
            text = "id: " + id + ':' + std::to_string(sequence) + "\ndata: {\"id\":\n\n";
            break;
        default:
            break;
        }
        if (!text.empty() && !delayedEvent.empty()) {
            text += std::exchange(delayedEvent, {});
        }
        const auto delivered = text.empty() || co_await sendEvent(peer, text);
        if (!delivered || !*alive || !m_streams.contains(id)) {
            co_return false;
        }
        co_await pause(eventDelay);
        if (!*alive) {
            co_return false;
        }
    }
    if (planned.fault == engine_fault::noMarker) {
        co_return false;
    }
    const auto marker = "id: " + id + ':' + std::to_string(sent.tokens.size()) + "\ndata: [DONE]\n\n";
    co_await sendEvent(peer, marker);
    auto end = std::string("0\r\n\r\n");
    if (planned.fault == engine_fault::lateEvent) {
        end += eventText("other-1", 0, "other-1", "late ", "", 0);
    }
    co_await asio::async_write(*peer, asio::buffer(end), asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

auto fake_engine::sendEvent(std::shared_ptr<socket> peer, std::string text) -> asio::awaitable<bool>
{
    auto size = std::array<char, 32>();
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    const auto chunk = size.data() + text + "\r\n";
    auto error = error_code();
    co_await asio::async_write(*peer, asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

auto fake_engine::pause(duration delay) -> asio::awaitable<void>
{
    if (delay > duration::zero()) {
        auto timer = asio::steady_timer(m_context, delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

auto fake_engine::nextFault() -> planned_fault
{
    if (faults.empty()) {
        return {};
    }
    const auto planned = faults.front();
    faults.pop_front();
    return planned;
}

} // namespace marjoramloom::test
