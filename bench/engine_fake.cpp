#include "engine_fake.h"

#include <algorithm>

namespace marjoramloom::bench {

namespace {

constexpr auto toleranceTokens = 1e-6;

template<typename Targets>
auto eraseTarget(Targets &targets, double target, std::uint64_t key) -> void
{
    const auto [first, last] = targets.equal_range(target);
    const auto found = std::find_if(first, last, [key](const auto &entry) { return entry.second == key; });
    if (found != last) {
        targets.erase(found);
    }
}

} // namespace

engine_fake::engine_fake(event_queue &queue, engine_settings settings, engine_listener listener)
    : m_queue(queue)
    , m_settings(settings)
    , m_listener(std::move(listener))
    , m_advancedAt(queue.now())
{
}

auto engine_fake::admit(const engine_request &request) -> void
{
    advance();
    m_waiting.push_back(request);
    startWaiting();
    scheduleNextEvent();
}

auto engine_fake::startWaiting() -> void
{
    while (m_running.size() < m_settings.slots && !m_waiting.empty()) {
        const auto next = m_waiting.front();
        m_waiting.pop_front();
        startRequest(next);
    }
}

auto engine_fake::startRequest(const engine_request &request) -> void
{
    auto &entry = m_running[request.key];
    entry.request = request;
    entry.cachedPromptTokens = cachedTokens(request);
    entry.target = m_prefill.reached + std::max(1.0, request.promptTokens - entry.cachedPromptTokens);
    if (m_settings.callSeconds > 0) {
        entry.target = m_prefill.reached + 1;
    }
    m_prefill.targets.emplace(entry.target, request.key);
    m_listener.started(request.key);
}

auto engine_fake::cachedTokens(const engine_request &request) -> double
{
    const auto isContextCached = request.contextHash != 0 && useCacheEntry(request.contextHash, 0);
    const auto isPrefixCached = request.prefixHash != 0 && useCacheEntry(request.prefixHash, request.prefixTokens);
    return isContextCached ? request.promptTokens : isPrefixCached ? request.prefixTokens : 0;
}

auto engine_fake::useCacheEntry(std::uint64_t hash, double tokens) -> bool
{
    const auto found = m_cacheIndex.find(hash);
    if (found != m_cacheIndex.end()) {
        m_cache.splice(m_cache.begin(), m_cache, found->second);
        return true;
    }
    if (tokens > 0) {
        m_cache.push_front({ hash, tokens });
        m_cacheIndex[hash] = m_cache.begin();
        m_usedCacheTokens += tokens;
    }
    while (m_usedCacheTokens > m_settings.cacheCapacityTokens) {
        m_usedCacheTokens -= m_cache.back().tokens;
        m_cacheIndex.erase(m_cache.back().hash);
        m_cache.pop_back();
    }
    return false;
}

auto engine_fake::prefillProgressRate() const -> double
{
    const auto prefillingCount = std::max<std::size_t>(1, m_prefill.targets.size());
    if (m_settings.callSeconds > 0) {
        return 1 / (m_settings.callSeconds * m_slowdown);
    }
    return m_settings.prefillTokensPerSecond / (static_cast<double>(prefillingCount) * m_slowdown);
}

auto engine_fake::stepSeconds() const -> double
{
    const auto otherRequests = std::max(0.0, static_cast<double>(m_running.size()) - 1);
    const auto prefillFactor = m_prefill.targets.empty() ? 1.0 : m_settings.prefillStepFactor;
    return m_settings.stepSeconds * (1 + m_settings.stepGrowthPerRequest * otherRequests) * prefillFactor * m_slowdown;
}

auto engine_fake::decodeProgressRate() const -> double
{
    return 1 / stepSeconds();
}

auto engine_fake::advance() -> void
{
    const auto seconds = toSeconds(m_queue.now() - m_advancedAt);
    m_advancedAt = m_queue.now();
    if (!m_prefill.targets.empty()) {
        m_prefill.reached += seconds * prefillProgressRate();
    }
    if (!m_decode.targets.empty()) {
        m_decode.reached += seconds * decodeProgressRate();
    }
}

auto engine_fake::secondsToNextEvent() const -> std::optional<double>
{
    auto next = std::optional<double>();
    if (!m_prefill.targets.empty()) {
        next = (m_prefill.targets.begin()->first - m_prefill.reached) / prefillProgressRate();
    }
    if (!m_decode.targets.empty()) {
        const auto decode = (m_decode.targets.begin()->first - m_decode.reached) / decodeProgressRate();
        next = std::min(next.value_or(decode), decode);
    }
    return next;
}

auto engine_fake::scheduleNextEvent() -> void
{
    if (m_nextEvent) {
        m_queue.cancel(*m_nextEvent);
        m_nextEvent.reset();
    }
    if (const auto next = secondsToNextEvent()) {
        const auto delay = fromSeconds(std::max(0.0, *next)) + std::chrono::nanoseconds(1);
        m_nextEvent = m_queue.after(delay, [this] { onTimer(); });
    }
}

auto engine_fake::onTimer() -> void
{
    m_nextEvent.reset();
    advance();
    while (!m_prefill.targets.empty() && m_prefill.targets.begin()->first <= m_prefill.reached + toleranceTokens) {
        beginDecode(m_prefill.targets.begin()->second);
    }
    while (!m_decode.targets.empty() && m_decode.targets.begin()->first <= m_decode.reached + toleranceTokens) {
        finish(m_decode.targets.begin()->second);
    }
    startWaiting();
    scheduleNextEvent();
}

auto engine_fake::beginDecode(std::uint64_t key) -> void
{
    auto &entry = m_running.at(key);
    eraseTarget(m_prefill.targets, entry.target, key);
    entry.isDecoding = true;
    // The prefill yields the first token.
    entry.target = m_decode.reached + std::max(0.0, entry.request.outputTokens - 1);
    m_decode.targets.emplace(entry.target, key);
    m_listener.firstToken(key, entry.cachedPromptTokens);
}

auto engine_fake::finish(std::uint64_t key) -> void
{
    removeRunning(key);
    m_listener.finished(key);
}

auto engine_fake::removeRunning(std::uint64_t key) -> running_request
{
    auto node = m_running.extract(key);
    auto &entry = node.mapped();
    auto &progress = entry.isDecoding ? m_decode : m_prefill;
    eraseTarget(progress.targets, entry.target, key);
    if (entry.isDecoding && entry.request.contextHash != 0) {
        useCacheEntry(entry.request.contextHash, entry.request.promptTokens + entry.request.outputTokens);
    }
    return std::move(entry);
}

auto engine_fake::cancel(std::uint64_t key) -> double
{
    advance();
    const auto found =
        std::find_if(m_waiting.begin(), m_waiting.end(), [key](const auto &request) { return request.key == key; });
    if (found != m_waiting.end()) {
        m_waiting.erase(found);
        return 0;
    }
    if (!m_running.contains(key)) {
        return 0;
    }
    const auto tokens = generatedTokens(key);
    removeRunning(key);
    startWaiting();
    scheduleNextEvent();
    return tokens;
}

auto engine_fake::generatedTokens(std::uint64_t key) -> double
{
    advance();
    const auto found = m_running.find(key);
    if (found == m_running.end() || !found->second.isDecoding) {
        return 0;
    }
    const auto remaining = std::max(0.0, found->second.target - m_decode.reached);
    return found->second.request.outputTokens - remaining;
}

auto engine_fake::setSlowdown(double factor) -> void
{
    advance();
    m_slowdown = factor;
    scheduleNextEvent();
}

auto engine_fake::runningCount() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(m_running.size());
}

auto engine_fake::waitingCount() const -> std::size_t
{
    return m_waiting.size();
}

auto engine_fake::settings() const -> const engine_settings &
{
    return m_settings;
}

} // namespace marjoramloom::bench
