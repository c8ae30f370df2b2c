#include "engine_standin.h"

#include "common_faults.h"

#include <boost/json.hpp>
#include <cmath>

namespace standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto streamsPath = std::string_view("/v1/streams/");
/// Generations that are kept for resuming their streams.
constexpr auto maxGenerations = std::size_t(4'096);

auto replyWith(http::status status, const json::object &body) -> http_reply
{
    auto answer = http_reply();
    answer.status = status;
    answer.body = json::serialize(body);
    return answer;
}

/// The fields of a completions request that the stand-in uses.
struct completions_request
{
    std::vector<chat_message> messages;
    bool stream = false;
    std::size_t maxTokens = 0;
};

auto parseCompletions(const std::string &body) -> std::optional<completions_request>
{
    try {
        const auto document = json::parse(body);
        const auto &fields = document.as_object();
        auto parsed = completions_request();
        for (const auto &message : fields.at("messages").as_array()) {
            const auto &parts = message.as_object();
            parsed.messages.push_back(
                { std::string(parts.at("role").as_string()), std::string(parts.at("content").as_string()) });
        }
        parsed.stream = fields.contains("stream") && fields.at("stream").as_bool();
        parsed.maxTokens = fields.contains("max_tokens") ? fields.at("max_tokens").to_number<std::size_t>() : 0;
        return parsed;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

/// Number of the event after \p lastEventId, which has the form ID:SEQ; 0 if it is absent.
auto nextEventNumber(const std::string &lastEventId) -> std::size_t
{
    const auto colon = lastEventId.rfind(':');
    return colon == std::string::npos ? 0 : std::strtoull(lastEventId.c_str() + colon + 1, nullptr, 10) + 1;
}

} // namespace

engine_standin::engine_standin(asio::io_context &context, standin_context &shared, engine_options options)
    : m_context(context)
    , m_shared(shared)
    , m_options(std::move(options))
    , m_cache(m_options.cacheTokens)
{
    recordLoad();
}

auto engine_standin::handle(http_exchange &exchange) -> void_awaitable
{
    const auto &path = exchange.path();
    const auto isStream = path.starts_with(streamsPath);
    const auto key = isStream ? path.substr(streamsPath.size()) : exchange.header("X-Request-Id");
    if (co_await applyRequestFaults(exchange, m_shared, key)) {
        co_return;
    }
    if (path == "/v1/chat/completions" && exchange.method() == "POST") {
        co_await complete(exchange);
    } else if (isStream && exchange.method() == "GET") {
        co_await resume(exchange);
    } else {
        auto answer = replyWith(http::status::not_found, {});
        if (isStream && exchange.method() == "DELETE") {
            answer = cancel(key);
        } else if (path == "/v1/load") {
            answer = loadReport();
        } else if (path == "/v1/orders" && exchange.method() == "POST") {
            answer = executeOrder(exchange);
        }
        co_await exchange.reply(answer);
    }
}

auto engine_standin::complete(http_exchange &exchange) -> void_awaitable
{
    const auto request = parseCompletions(exchange.body());
    const auto entry = exchange.entry();
    if (!request || entry.requestId.empty()) {
        const auto answer = replyWith(http::status::bad_request, {});
        co_await exchange.reply(answer);
        co_return;
    }
    if (find(entry.requestId)) {
        const auto answer = replyWith(http::status::conflict, {});
        co_await exchange.reply(answer);
        co_return;
    }
    auto text = expectedAnswer(request->messages, request->maxTokens);
    const auto work = std::make_shared<generation>(m_context.get_executor(), entry.requestId, std::move(text));
    for (const auto &message : request->messages) {
        work->promptTokens += promptTokens(message.content);
    }
    work->cachedTokens = m_cache.lookupAndInsert(request->messages);
    admit(entry, work);
    const auto faults = stream_faults::takeFrom(m_shared.faults, exchange.subject(entry.requestId));
    if (request->stream) {
        co_await m_writer.stream(exchange, work, 0, faults);
    } else {
        co_await m_writer.whole(exchange, work, faults);
    }
}

auto engine_standin::admit(const execution_entry &entry, std::shared_ptr<generation> work) -> void
{
    m_generations[work->id] = work;
    m_generationOrder.push_back(work->id);
    if (m_generationOrder.size() > maxGenerations && find(m_generationOrder.front())->done()) {
        m_generations.erase(m_generationOrder.front());
        m_generationOrder.pop_front();
    }
    auto started = entry;
    started.state = "started";
    m_shared.record.append(started);
    m_queue.push_back({ std::move(work), entry });
    startQueued();
}

auto engine_standin::startQueued() -> void
{
    while (m_running < m_options.slots && !m_queue.empty()) {
        auto next = std::move(m_queue.front());
        m_queue.pop_front();
        ++m_running;
        asio::co_spawn(m_context, run(std::move(next.work), std::move(next.entry)), asio::detached);
    }
    recordLoad();
}

auto engine_standin::run(std::shared_ptr<generation> work, execution_entry entry) -> void_awaitable
{
    const auto prefillMs = static_cast<double>(work->promptTokens - work->cachedTokens) * m_options.prefillMsPerToken;
    const auto *slow = m_shared.faults.find(fault_kind::slow);
    co_await pauseFor((m_options.firstTokenMs + prefillMs) * (slow == nullptr ? 1 : slow->factor));
    while (!work->done()) {
        ++work->produced;
        work->notify();
        if (!work->done()) {
            const auto delay = tokenDelayMs();
            co_await pauseFor(delay);
        }
    }
    work->notify();
    entry.tokens = work->produced;
    entry.state = work->cancelled ? "cancelled" : "finished";
    m_shared.record.append(entry);
    --m_running;
    startQueued();
}

auto engine_standin::tokenDelayMs() -> double
{
    constexpr auto slowdownPerRequest = 0.02; // Relative slowdown for each running request over half of the slots.
    constexpr auto variation = 0.1;
    const auto requestsOverHalf = std::max(0.0, static_cast<double>(m_running) - m_options.slots / 2.0);
    const auto draw =
        static_cast<double>(marjoramloom::hash64(std::to_string(++m_drawCount), m_options.seed) % 1'000) / 1'000;
    const auto *slow = m_shared.faults.find(fault_kind::slow);
    return m_options.tokenMs * (1 + slowdownPerRequest * requestsOverHalf) * (1 + variation * (draw - 0.5))
        * (slow == nullptr ? 1 : slow->factor);
}

auto engine_standin::pauseFor(double milliseconds) -> void_awaitable
{
    auto timer = asio::steady_timer(m_context);
    timer.expires_after(std::chrono::microseconds(std::llround(milliseconds * 1'000)));
    co_await timer.async_wait(asio::use_awaitable);
}

auto engine_standin::recordLoad() -> void
{
    constexpr auto maxLoadHistory = std::chrono::minutes(1);
    const auto now = clock::now();
    m_loads.push_back({ now, m_running, static_cast<std::uint32_t>(m_queue.size()) });
    while (m_loads.size() > 1 && m_loads[1].since < now - maxLoadHistory) {
        m_loads.pop_front();
    }
}

auto engine_standin::loadReport() const -> http_reply
{
    const auto *lag = m_shared.faults.find(fault_kind::loadLag);
    const auto lagMs = lag == nullptr ? m_options.loadLagMs : lag->ms;
    const auto shownAt = clock::now() - std::chrono::milliseconds(lagMs);
    auto shown = load_state();
    for (const auto &state : m_loads) {
        if (state.since <= shownAt) {
            shown = state;
        }
    }
    auto body = json::object();
    body["running"] = shown.running;
    body["waiting"] = shown.waiting;
    body["slots"] = m_options.slots;
    body["as_of_ms"] = lagMs;
    body["data_centre"] = m_options.dataCentre;
    return replyWith(http::status::ok, body);
}

auto engine_standin::resume(http_exchange &exchange) -> void_awaitable
{
    const auto work = find(exchange.path().substr(streamsPath.size()));
    if (!work || work->cancelled) {
        const auto answer = replyWith(http::status::not_found, {});
        co_await exchange.reply(answer);
        co_return;
    }
    const auto first = nextEventNumber(exchange.header("Last-Event-ID"));
    const auto faults = stream_faults::takeFrom(m_shared.faults, exchange.subject(work->id));
    co_await m_writer.stream(exchange, work, first, faults);
}

auto engine_standin::cancel(const std::string &id) -> http_reply
{
    const auto work = find(id);
    if (!work || work->done()) {
        return replyWith(http::status::not_found, {});
    }
    work->cancelled = true;
    work->notify();
    return replyWith(http::status::ok, {});
}

auto engine_standin::executeOrder(const http_exchange &exchange) -> http_reply
{
    auto error = json::error_code();
    const auto document = json::parse(exchange.body(), error);
    const auto *fence = error || !document.is_object() ? nullptr : document.as_object().if_contains("fence");
    if (fence == nullptr || !fence->is_number()) {
        return replyWith(http::status::bad_request, {});
    }
    const auto number = fence->to_number<std::uint64_t>();
    const auto *override = m_shared.faults.find(fault_kind::checkFencing);
    const auto checks = override == nullptr ? m_options.checksFencing : override->enabled;
    auto body = json::object();
    if (checks && number < m_fence) {
        body["fence"] = m_fence;
        return replyWith(http::status::conflict, body);
    }
    m_fence = std::max(m_fence, number);
    auto entry = exchange.entry();
    entry.state = "finished";
    m_shared.record.append(entry);
    body["fence"] = m_fence;
    return replyWith(http::status::ok, body);
}

auto engine_standin::find(const std::string &id) const -> std::shared_ptr<generation>
{
    const auto found = m_generations.find(id);
    return found == m_generations.end() ? nullptr : found->second;
}

auto engine_standin::control(http_exchange &, const json::value &) -> http_reply
{
    return replyWith(http::status::not_found, {});
}

} // namespace standins
