#include "engine_fake.h"

#include <algorithm>

namespace marjoramloom::bench {

namespace {

constexpr auto tolerance = 1e-6; // Tokens.

template<typename Targets>
auto eraseTarget(Targets &targets, double target, std::uint64_t key) -> void
{
    const auto [first, last] = targets.equal_range(target);
    const auto found = std::find_if(first, last, [key](const auto &row) { return row.second == key; });
    if (found != last) {
        targets.erase(found);
    }
}

} // namespace

engine_fake::engine_fake(event_queue &queue, engine_settings settings, engine_listener listener)
    : m_queue(queue)
    , m_settings(settings)
    , m_listener(std::move(listener))
    , m_advanced(queue.now())
{
}

auto engine_fake::admit(const engine_work &work) -> void
{
    advance();
    m_waiting.push_back(work);
    startWaiting();
    plan();
}

auto engine_fake::startWaiting() -> void
{
    while (m_running.size() < m_settings.slots && !m_waiting.empty()) {
        const auto next = m_waiting.front();
        m_waiting.pop_front();
        start(next);
    }
}

auto engine_fake::start(const engine_work &work) -> void
{
    auto &entry = m_running[work.key];
    entry.work = work;
    entry.cached = cachedTokens(work);
    entry.target = m_prefill.reached + std::max(1.0, work.promptTokens - entry.cached);
    if (m_settings.callSeconds > 0) {
        entry.target = m_prefill.reached + 1;
    }
    m_prefill.targets.emplace(entry.target, work.key);
    m_listener.started(work.key);
}

auto engine_fake::cachedTokens(const engine_work &work) -> double
{
    const auto whole = work.contextHash != 0 && touch(work.contextHash, 0);
    const auto prefix = work.prefixHash != 0 && touch(work.prefixHash, work.prefixTokens);
    return whole ? work.promptTokens : prefix ? work.prefixTokens : 0;
}

auto engine_fake::touch(std::uint64_t hash, double tokens) -> bool
{
    const auto found = m_cacheIndex.find(hash);
    if (found != m_cacheIndex.end()) {
        m_cache.splice(m_cache.begin(), m_cache, found->second);
        return true;
    }
    if (tokens > 0) {
        m_cache.push_front({ hash, tokens });
        m_cacheIndex[hash] = m_cache.begin();
        m_cacheHeld += tokens;
    }
    while (m_cacheHeld > m_settings.cacheTokens) {
        m_cacheHeld -= m_cache.back().tokens;
        m_cacheIndex.erase(m_cache.back().hash);
        m_cache.pop_back();
    }
    return false;
}

auto engine_fake::prefillPace() const -> double
{
    const auto sharing = std::max<std::size_t>(1, m_prefill.targets.size());
    if (m_settings.callSeconds > 0) {
        return 1 / (m_settings.callSeconds * m_slowdown);
    }
    return m_settings.prefillRate / (static_cast<double>(sharing) * m_slowdown);
}

auto engine_fake::stepSeconds() const -> double
{
    const auto others = std::max(0.0, static_cast<double>(m_running.size()) - 1);
    const auto reading = m_prefill.targets.empty() ? 1.0 : m_settings.prefillSlowdown;
    return m_settings.stepSeconds * (1 + m_settings.crowdSlope * others) * reading * m_slowdown;
}

auto engine_fake::decodePace() const -> double
{
    return 1 / stepSeconds();
}

auto engine_fake::advance() -> void
{
    const auto seconds = toSeconds(m_queue.now() - m_advanced);
    m_advanced = m_queue.now();
    if (!m_prefill.targets.empty()) {
        m_prefill.reached += seconds * prefillPace();
    }
    if (!m_decode.targets.empty()) {
        m_decode.reached += seconds * decodePace();
    }
}

auto engine_fake::nextEvent() const -> std::optional<double>
{
    auto next = std::optional<double>();
    if (!m_prefill.targets.empty()) {
        next = (m_prefill.targets.begin()->first - m_prefill.reached) / prefillPace();
    }
    if (!m_decode.targets.empty()) {
        const auto decode = (m_decode.targets.begin()->first - m_decode.reached) / decodePace();
        next = std::min(next.value_or(decode), decode);
    }
    return next;
}

auto engine_fake::plan() -> void
{
    if (m_planned) {
        m_queue.cancel(*m_planned);
        m_planned.reset();
    }
    if (const auto next = nextEvent()) {
        const auto delay = fromSeconds(std::max(0.0, *next)) + std::chrono::nanoseconds(1);
        m_planned = m_queue.after(delay, [this] { wake(); });
    }
}

auto engine_fake::wake() -> void
{
    m_planned.reset();
    advance();
    while (!m_prefill.targets.empty() && m_prefill.targets.begin()->first <= m_prefill.reached + tolerance) {
        beginDecode(m_prefill.targets.begin()->second);
    }
    while (!m_decode.targets.empty() && m_decode.targets.begin()->first <= m_decode.reached + tolerance) {
        finish(m_decode.targets.begin()->second);
    }
    startWaiting();
    plan();
}

auto engine_fake::beginDecode(std::uint64_t key) -> void
{
    auto &entry = m_running.at(key);
    eraseTarget(m_prefill.targets, entry.target, key);
    entry.decoding = true;
    // Reading the prompt yields the first token.
    entry.target = m_decode.reached + std::max(0.0, entry.work.outputTokens - 1);
    m_decode.targets.emplace(entry.target, key);
    m_listener.firstToken(key, entry.cached);
}

auto engine_fake::finish(std::uint64_t key) -> void
{
    leave(key);
    m_listener.finished(key);
}

auto engine_fake::leave(std::uint64_t key) -> running_work
{
    auto node = m_running.extract(key);
    auto &entry = node.mapped();
    auto &progress = entry.decoding ? m_decode : m_prefill;
    eraseTarget(progress.targets, entry.target, key);
    if (entry.decoding && entry.work.contextHash != 0) {
        touch(entry.work.contextHash, entry.work.promptTokens + entry.work.outputTokens);
    }
    return std::move(entry);
}

auto engine_fake::cancel(std::uint64_t key) -> double
{
    advance();
    const auto queued =
        std::find_if(m_waiting.begin(), m_waiting.end(), [key](const auto &work) { return work.key == key; });
    if (queued != m_waiting.end()) {
        m_waiting.erase(queued);
        return 0;
    }
    if (!m_running.contains(key)) {
        return 0;
    }
    const auto tokens = generated(key);
    leave(key);
    startWaiting();
    plan();
    return tokens;
}

auto engine_fake::generated(std::uint64_t key) -> double
{
    advance();
    const auto found = m_running.find(key);
    if (found == m_running.end() || !found->second.decoding) {
        return 0;
    }
    const auto left = std::max(0.0, found->second.target - m_decode.reached);
    return found->second.work.outputTokens - left;
}

auto engine_fake::setSlowdown(double factor) -> void
{
    advance();
    m_slowdown = factor;
    plan();
}

auto engine_fake::running() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(m_running.size());
}

auto engine_fake::waiting() const -> std::size_t
{
    return m_waiting.size();
}

auto engine_fake::settings() const -> const engine_settings &
{
    return m_settings;
}

} // namespace marjoramloom::bench
