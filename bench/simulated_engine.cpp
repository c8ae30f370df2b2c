#include "simulated_engine.h"

#include <algorithm>
#include <set>

namespace marjoramloom::bench {

namespace {

/// Tokens of \p prompt that no other prompt shares: the last block and what the block list does not cover.
auto ownTokens(const prompt_summary &prompt) -> std::uint32_t
{
    auto shared = std::uint32_t(0);
    for (auto index = std::size_t(0); index + 1 < prompt.parts.size(); ++index) {
        shared += prompt.parts[index].tokens;
    }
    return prompt.promptTokens - shared;
}

} // namespace

simulated_engine::simulated_engine(event_queue &events, simulated_profile profile, read_listener onRead)
    : m_events(events)
    , m_profile(profile)
    , m_onRead(std::move(onRead))
{
}

auto simulated_engine::submit(const job_ptr &job) -> void
{
    m_waiting.push_back(job);
    const auto held = heldTokens();
    m_peakUse = std::max(m_peakUse, static_cast<double>(held) / static_cast<double>(m_profile.kvCapacityTokens));
    if (held > m_profile.kvCapacityTokens) {
        ++m_crashes;
        crash();
        return;
    }
    scheduleStep();
}

auto simulated_engine::crash() -> void
{
    ++m_generation;
    m_stepping = false;
    m_lru.clear();
    m_blocks.clear();
    m_cachedTokens = 0;
    m_ownTokens = 0;
    auto lost = std::exchange(m_running, {});
    lost.insert(lost.end(), m_waiting.begin(), m_waiting.end());
    m_waiting.clear();
    for (const auto &job : lost) {
        job->onEnd(false);
    }
}

auto simulated_engine::holds(std::uint64_t block) const -> bool
{
    return m_blocks.contains(block);
}

auto simulated_engine::crashes() const -> std::uint32_t
{
    return m_crashes;
}

auto simulated_engine::peakUse() const -> double
{
    return m_peakUse;
}

auto simulated_engine::heldTokens() const -> std::uint64_t
{
    auto tokens = std::uint64_t(0);
    auto shared = std::set<std::uint64_t>();
    const auto add = [&](const job_ptr &job) {
        tokens += ownTokens(job->prompt) + job->outputTokens;
        for (auto index = std::size_t(0); index + 1 < job->prompt.parts.size(); ++index) {
            const auto &block = job->prompt.parts[index];
            tokens += shared.insert(block.id).second ? block.tokens : 0;
        }
    };
    std::for_each(m_running.begin(), m_running.end(), add);
    std::for_each(m_waiting.begin(), m_waiting.end(), add);
    return tokens;
}

auto simulated_engine::scheduleStep() -> void
{
    if (!m_stepping) {
        m_stepping = true;
        m_events.after({}, [this, generation = m_generation] {
            if (generation == m_generation) {
                beginStep();
            }
        });
    }
}

auto simulated_engine::beginStep() -> void
{
    while (m_running.size() < m_profile.slots && !m_waiting.empty()) {
        m_running.push_back(m_waiting.front());
        m_waiting.pop_front();
    }
    if (m_running.empty()) {
        m_stepping = false;
        return;
    }
    auto prefilled = std::vector<job_ptr>();
    auto decoded = std::vector<job_ptr>();
    auto budget = m_profile.chunkTokens;
    for (const auto &job : m_running) {
        if (job->started && job->prefillLeft == 0) {
            decoded.push_back(job);
            continue;
        }
        if (budget == 0) {
            continue;
        }
        if (!job->started) {
            start(*job);
        }
        const auto tokens = std::min(budget, job->prefillLeft);
        job->prefillLeft -= tokens;
        budget -= tokens;
        if (job->prefillLeft == 0) {
            prefilled.push_back(job);
        }
    }
    const auto ms = m_profile.stepMs + m_profile.stepMsPerRequest * static_cast<double>(decoded.size())
        + (m_profile.chunkTokens - budget) / m_profile.prefillTokensPerMs;
    m_events.after(fromSeconds(ms / 1e3),
                   [this, generation = m_generation, prefilled = std::move(prefilled), decoded = std::move(decoded)] {
                       if (generation == m_generation) {
                           endStep(prefilled, decoded);
                           beginStep();
                       }
                   });
}

auto simulated_engine::endStep(const std::vector<job_ptr> &prefilled, const std::vector<job_ptr> &decoded) -> void
{
    for (const auto &job : prefilled) {
        job->onFirstEvent();
        job->produced = 1;
    }
    for (const auto &job : decoded) {
        ++job->produced;
    }
    for (const auto &job : std::vector(m_running)) {
        if (job->produced >= job->outputTokens) {
            std::erase(m_running, job);
            finish(job);
        }
    }
}

auto simulated_engine::start(simulated_job &job) -> void
{
    job.started = true;
    job.prefillLeft = std::max<std::uint32_t>(1, ownTokens(job.prompt));
    auto hit = true;
    for (auto index = std::size_t(0); index + 1 < job.prompt.parts.size(); ++index) {
        const auto &block = job.prompt.parts[index];
        const auto known = m_blocks.find(block.id);
        hit = hit && known != m_blocks.end();
        m_onRead(block, hit);
        job.prefillLeft += hit ? 0 : block.tokens;
        if (known != m_blocks.end()) {
            m_lru.splice(m_lru.begin(), m_lru, known->second);
        } else {
            m_lru.push_front({ block.id, block.tokens, 0 });
            m_blocks.emplace(block.id, m_lru.begin());
            m_cachedTokens += block.tokens;
        }
        ++m_lru.front().users;
    }
    m_ownTokens += ownTokens(job.prompt) + job.outputTokens;
    evict();
}

auto simulated_engine::finish(const job_ptr &job) -> void
{
    for (auto index = std::size_t(0); index + 1 < job->prompt.parts.size(); ++index) {
        const auto known = m_blocks.find(job->prompt.parts[index].id);
        --known->second->users;
        m_lru.splice(m_lru.begin(), m_lru, known->second);
    }
    // What no other prompt shares stays in the cache until it is evicted.
    const auto own = ownTokens(job->prompt) + job->outputTokens;
    m_ownTokens -= own;
    m_lru.push_front({ 0, own, 0 });
    m_cachedTokens += own;
    evict();
    job->onEnd(true);
}

auto simulated_engine::evict() -> void
{
    for (auto entry = m_lru.end();
         entry != m_lru.begin() && m_cachedTokens + m_ownTokens > m_profile.kvCapacityTokens;) {
        --entry;
        if (entry->users == 0) {
            m_cachedTokens -= entry->tokens;
            m_blocks.erase(entry->id);
            entry = m_lru.erase(entry);
        }
    }
}

} // namespace marjoramloom::bench
