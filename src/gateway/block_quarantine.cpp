#include "marjoramloom/gateway/block_quarantine.h"

#include "marjoramloom/core/hash.h"
#include "marjoramloom/core/log.h"

#include <algorithm>
#include <utility>

namespace marjoramloom {

auto sharedBlocks(const prompt_summary &prompt) -> std::span<const prefix_block>
{
    const auto all = std::span<const prefix_block>(prompt.parts);
    return all.empty() ? all : all.first(all.size() - 1);
}

auto block_quarantine::setPublisher(publisher target) -> void
{
    m_publisher = std::move(target);
}

auto block_quarantine::check(std::span<const prefix_block> blocks,
                             const std::function<bool(std::uint64_t block)> &isTrialRouter, time_point now) -> verdict
{
    auto result = verdict::allowed;
    for (const auto &block : blocks) {
        const auto found = m_blocks.find(block.id);
        if (found == m_blocks.end() || !found->second.record.quarantined) {
            continue;
        }
        // With two quarantined blocks, the outcome of a trial would say nothing about either.
        if (result == verdict::trial || now < found->second.nextTrialAt || !isTrialRouter(block.id)) {
            return verdict::refused;
        }
        result = verdict::trial;
    }
    if (result == verdict::allowed) {
        return result;
    }
    for (const auto &block : blocks) {
        const auto found = m_blocks.find(block.id);
        if (found != m_blocks.end() && found->second.record.quarantined) {
            auto &entry = found->second;
            ++entry.record.trials;
            entry.changedAt = now;
            entry.nextTrialAt = now + trialDelay(entry.record.trials);
            log_line(log_level::warning, "block_trial").with("block", block.id).with("trials", entry.record.trials);
            if (m_publisher.onRecord) {
                m_publisher.onRecord(entry.record);
            }
        }
    }
    return result;
}

auto block_quarantine::isQuarantined(std::span<const prefix_block> blocks) const -> bool
{
    return std::any_of(blocks.begin(), blocks.end(), [&](const auto &block) {
        const auto found = m_blocks.find(block.id);
        return found != m_blocks.end() && found->second.record.quarantined;
    });
}

auto block_quarantine::mayResend(std::span<const prefix_block> blocks) const -> bool
{
    return std::none_of(blocks.begin(), blocks.end(), [&](const auto &block) {
        const auto found = m_blocks.find(block.id);
        return found != m_blocks.end()
            && (found->second.record.quarantined
                || evidence(found->second.record) + BEGAN_ANSWER_WEIGHT >= QUARANTINE_EVIDENCE);
    });
}

auto block_quarantine::timeToTrial(std::span<const prefix_block> blocks, time_point now) const -> duration
{
    auto longest = duration::zero();
    for (const auto &block : blocks) {
        const auto found = m_blocks.find(block.id);
        if (found != m_blocks.end() && found->second.record.quarantined) {
            longest = std::max<duration>(longest, found->second.nextTrialAt - now);
        }
    }
    return longest;
}

auto block_quarantine::noteBroken(std::uint64_t engine, crash_sign sign, std::span<const prefix_block> blocks,
                                  time_point now) -> void
{
    // What the others do not hear of they cannot clear, so it does not count here either.
    if (blocks.empty() || !mayReport(sign, now)) {
        return;
    }
    auto report = crash_report{ .engine = engine, .sign = sign, .blocks = {} };
    for (const auto &block : blocks) {
        report.blocks.push_back(block.id);
    }
    apply(report, now);
    if (m_publisher.onReport) {
        m_publisher.onReport(report);
    }
}

auto block_quarantine::noteAnswerBegun(std::span<const prefix_block> blocks, time_point now) -> void
{
    for (const auto &block : blocks) {
        const auto found = m_blocks.find(block.id);
        if (found == m_blocks.end() || found->second.record.crashes.empty()) {
            continue;
        }
        clear(found->second, now);
        if (m_publisher.onRecord) {
            m_publisher.onRecord(found->second.record);
        }
    }
}

auto block_quarantine::handleReport(const crash_report &report, time_point now) -> void
{
    apply(report, now);
}

auto block_quarantine::handleRecord(const block_record &record, time_point now) -> void
{
    auto &entry = track(record.block, now);
    auto &own = entry.record;
    if (record.clearances < own.clearances) {
        return;
    }
    if (record.clearances > own.clearances) {
        const auto wasQuarantined = own.quarantined;
        own = block_record{ .block = record.block, .clearances = record.clearances, .crashes = {} };
        entry.changedAt = now;
        if (wasQuarantined && !record.quarantined) {
            log_line(log_level::warning, "block_released").with("block", record.block).with("by", "another router");
        }
    }
    for (const auto &[engine, sign] : record.crashes) {
        if (own.crashes.size() < MAX_CRASHES_PER_BLOCK || own.crashes.contains(engine)) {
            auto &known = own.crashes.try_emplace(engine, sign).first->second;
            known = std::max(known, sign);
        }
    }
    if (record.quarantined && !own.quarantined) {
        quarantine(entry, now);
    }
    if (record.trials > own.trials) {
        own.trials = record.trials;
        entry.nextTrialAt = now + trialDelay(own.trials);
    }
}

auto block_quarantine::digest() const -> std::uint64_t
{
    auto sum = std::uint64_t(0);
    for (const auto &[block, entry] : m_blocks) {
        if (entry.record.quarantined) {
            const auto state = (std::uint64_t(entry.record.clearances) << 32U) + entry.record.trials;
            sum ^= hash64(std::to_string(block), state);
        }
    }
    return sum;
}

auto block_quarantine::records() const -> std::vector<block_record>
{
    auto all = std::vector<block_record>();
    for (const auto &[block, entry] : m_blocks) {
        all.push_back(entry.record);
    }
    return all;
}

auto block_quarantine::quarantinedBlocks() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(m_blocks.begin(), m_blocks.end(),
                                                  [](const auto &entry) { return entry.second.record.quarantined; }));
}

auto block_quarantine::apply(const crash_report &report, time_point now) -> void
{
    const auto isExplained = std::any_of(report.blocks.begin(), report.blocks.end(), [&](std::uint64_t block) {
        const auto found = m_blocks.find(block);
        return found != m_blocks.end() && found->second.record.quarantined;
    });
    if (isExplained) {
        return; // The crash says nothing about the other blocks of the prompt.
    }
    auto strongest = std::uint64_t(0);
    auto most = std::uint32_t(0);
    for (const auto block : report.blocks) {
        auto &entry = track(block, now);
        auto &crashes = entry.record.crashes;
        if (crashes.size() < MAX_CRASHES_PER_BLOCK || crashes.contains(report.engine)) {
            auto &sign = crashes.try_emplace(report.engine, report.sign).first->second;
            sign = std::max(sign, report.sign);
        }
        entry.changedAt = now;
        if (const auto sum = evidence(entry.record); sum >= most) {
            most = sum;
            strongest = block;
        }
    }
    if (most >= QUARANTINE_EVIDENCE) {
        quarantine(track(strongest, now), now);
    }
}

auto block_quarantine::clear(tracked_block &entry, time_point now) -> void
{
    if (entry.record.quarantined) {
        log_line(log_level::warning, "block_released")
            .with("block", entry.record.block)
            .with("trials", entry.record.trials)
            .with("by", "an answer that began");
    }
    entry.record =
        block_record{ .block = entry.record.block, .clearances = entry.record.clearances + 1, .crashes = {} };
    entry.changedAt = now;
}

auto block_quarantine::quarantine(tracked_block &entry, time_point now) -> void
{
    entry.record.quarantined = true;
    entry.changedAt = now;
    entry.nextTrialAt = now + trialDelay(entry.record.trials);
    log_line(log_level::warning, "block_quarantined")
        .with("block", entry.record.block)
        .with("crashes", entry.record.crashes.size())
        .with("evidence", evidence(entry.record))
        .with("trial_in_s", toSeconds(entry.nextTrialAt - now));
}

auto block_quarantine::track(std::uint64_t block, time_point now) -> tracked_block &
{
    const auto found = m_blocks.find(block);
    if (found != m_blocks.end()) {
        return found->second;
    }
    makeRoom(now);
    auto &entry = m_blocks[block];
    entry.record.block = block;
    entry.changedAt = now;
    return entry;
}

/// Removes what has expired, and the oldest entry if there is no room for another one.
auto block_quarantine::makeRoom(time_point now) -> void
{
    std::erase_if(m_blocks, [&](const auto &item) {
        const auto &entry = item.second;
        const auto lifetime = entry.record.crashes.empty() ? CLEARANCE_LIFETIME : EVIDENCE_LIFETIME;
        return !entry.record.quarantined && now - entry.changedAt > lifetime;
    });
    if (m_blocks.size() < MAX_BLOCKS) {
        return;
    }
    const auto oldest = std::min_element(m_blocks.begin(), m_blocks.end(), [](const auto &left, const auto &right) {
        return std::pair(left.second.record.quarantined, left.second.changedAt)
            < std::pair(right.second.record.quarantined, right.second.changedAt);
    });
    m_blocks.erase(oldest);
}

auto block_quarantine::mayReport(crash_sign sign, time_point now) -> bool
{
    if (now - m_reportsSince >= std::chrono::seconds(1)) {
        m_reportsSince = now;
        m_reports = 0;
    }
    const auto limit = sign == crash_sign::beganAnswer ? MAX_REPORTS_PER_SECOND : MAX_REPORTS_PER_SECOND / 2;
    if (m_reports >= limit) {
        return false;
    }
    ++m_reports;
    return true;
}

auto block_quarantine::evidence(const block_record &record) -> std::uint32_t
{
    auto sum = std::uint32_t(0);
    for (const auto &[engine, sign] : record.crashes) {
        sum += sign == crash_sign::beganAnswer ? BEGAN_ANSWER_WEIGHT : NO_ANSWER_WEIGHT;
    }
    return sum;
}

auto block_quarantine::trialDelay(std::uint32_t trials) -> duration
{
    auto delay = FIRST_TRIAL_DELAY;
    for (auto trial = std::uint32_t(0); trial < trials && delay < MAX_TRIAL_DELAY; ++trial) {
        delay *= TRIAL_DELAY_FACTOR;
    }
    return std::min(delay, MAX_TRIAL_DELAY);
}

} // namespace marjoramloom
