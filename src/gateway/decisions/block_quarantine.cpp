#include "marjoramloom/gateway/decisions/block_quarantine.h"

#include "marjoramloom/core/hash.h"
#include "marjoramloom/core/log.h"

#include <algorithm>
#include <optional>
#include <tuple>
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

auto block_quarantine::check(std::span<const prefix_block> blocks, const trial_order &trialOrder, time_point now)
    -> verdict
{
    auto result = verdict::allowed;
    for (const auto &block : blocks) {
        const auto found = m_blocks.find(block.id);
        if (found == m_blocks.end() || !found->second.record.quarantined) {
            continue;
        }
        // With two quarantined blocks, the outcome of a trial would say nothing about either.
        const auto overdue = now - found->second.nextTrialAt;
        if (result == verdict::trial || overdue < duration::zero()
            || static_cast<std::size_t>(overdue / TRIAL_TURN) < trialOrder(block.id)) {
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
            entry.nextTrialAt = now + trialDelay(entry.record);
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
                || evidence(found->second) + BEGAN_ANSWER_WEIGHT >= evidenceLimit(found->second.record));
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

auto block_quarantine::noteBroken(std::uint64_t engine, crash_sign sign, bool repeated,
                                  std::span<const prefix_block> blocks, time_point now) -> void
{
    // What the others do not hear of they cannot clear, so it does not count here either.
    if (blocks.empty() || !mayReport(sign, now)) {
        return;
    }
    auto report = crash_report{ .engine = engine, .sign = sign, .repeated = repeated, .blocks = {} };
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
        m_soundBlocks.note(block.id, now);
        const auto found = m_blocks.find(block.id);
        if (found == m_blocks.end() || (found->second.crashes.empty() && found->second.record.evidence == 0)) {
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
    own.sound = own.sound || record.sound;
    if (own.quarantined && evidence(entry) < evidenceLimit(own)) {
        own.quarantined = false;
        log_line(log_level::warning, "block_released")
            .with("block", record.block)
            .with("by", "answers at another router");
    }
    if (record.clearances < own.clearances) {
        return;
    }
    if (record.clearances > own.clearances) {
        const auto wasQuarantined = own.quarantined;
        own = block_record{ .block = record.block, .clearances = record.clearances, .sound = true };
        entry.crashes.clear();
        entry.changedAt = now;
        entry.clearedAt = now;
        if (wasQuarantined && !record.quarantined) {
            log_line(log_level::warning, "block_released").with("block", record.block).with("by", "another router");
        }
    }
    own.evidence = std::max(own.evidence, record.evidence);
    if (record.quarantined && !own.quarantined && evidence(entry) >= evidenceLimit(own)) {
        quarantine(entry, now);
    }
    if (record.trials > own.trials) {
        own.trials = record.trials;
        entry.nextTrialAt = now + trialDelay(own);
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
        all.back().evidence = evidence(entry);
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
    const auto moment = m_moments.note(report.engine, report.repeated, now);
    auto strongest = std::optional<std::uint64_t>();
    auto most = std::uint32_t(0);
    for (const auto block : report.blocks) {
        auto &entry = track(block, now);
        if (m_moments.startOf(moment) < entry.clearedAt) {
            continue; // An answer on the block began after the engine had crashed.
        }
        auto &sign = entry.crashes.try_emplace(moment, report.sign).first->second;
        sign = std::max(sign, report.sign);
        if (entry.crashes.size() > MAX_CRASHES_PER_BLOCK) {
            entry.crashes.erase(entry.crashes.begin());
        }
        entry.changedAt = now;
        if (const auto sum = evidence(entry); sum >= evidenceLimit(entry.record) && sum >= most) {
            most = sum;
            strongest = block;
        }
    }
    if (strongest) {
        quarantine(track(*strongest, now), now);
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
        block_record{ .block = entry.record.block, .clearances = entry.record.clearances + 1, .sound = true };
    entry.crashes.clear();
    entry.changedAt = now;
    entry.clearedAt = now;
}

auto block_quarantine::quarantine(tracked_block &entry, time_point now) -> void
{
    entry.record.quarantined = true;
    entry.record.evidence = evidence(entry); // Outlasts the moments of the crashes.
    entry.changedAt = now;
    entry.nextTrialAt = now + trialDelay(entry.record);
    log_line(log_level::warning, "block_quarantined")
        .with("block", entry.record.block)
        .with("crashes", entry.crashes.size())
        .with("evidence", evidence(entry))
        .with("sound_before", entry.record.sound ? "yes" : "no")
        .with("trial_in_s", toSeconds(entry.nextTrialAt - now));
}

auto block_quarantine::track(std::uint64_t block, time_point now) -> tracked_block &
{
    const auto found = m_blocks.find(block);
    if (found != m_blocks.end() && !isExpired(found->second, now)) {
        return found->second;
    }
    makeRoom(now);
    auto &entry = m_blocks[block];
    entry.record.block = block;
    entry.record.sound = m_soundBlocks.contains(block);
    entry.changedAt = now;
    return entry;
}

/// Removes what has expired, and if there is no room for another entry the oldest one of those with least evidence.
auto block_quarantine::makeRoom(time_point now) -> void
{
    std::erase_if(m_blocks, [&](const auto &item) { return isExpired(item.second, now); });
    if (m_blocks.size() < MAX_BLOCKS) {
        return;
    }
    const auto rank = [this](const tracked_block &entry) {
        return std::tuple(entry.record.quarantined, evidence(entry), entry.changedAt);
    };
    const auto least = std::min_element(m_blocks.begin(), m_blocks.end(), [&](const auto &left, const auto &right) {
        return rank(left.second) < rank(right.second);
    });
    m_blocks.erase(least);
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

auto block_quarantine::evidence(const tracked_block &entry) const -> std::uint32_t
{
    auto sum = std::uint32_t(0);
    for (const auto &[moment, sign] : entry.crashes) {
        if (!m_moments.isKnown(moment)) {
            continue;
        }
        if (sign == crash_sign::beganAnswer) {
            sum += BEGAN_ANSWER_WEIGHT;
        } else if (!m_moments.isCommonFailure(moment)) {
            sum += NO_ANSWER_WEIGHT;
        }
    }
    return std::max(sum, entry.record.evidence);
}

auto block_quarantine::evidenceLimit(const block_record &record) -> std::uint32_t
{
    return record.sound ? QUARANTINE_EVIDENCE_OF_SOUND : QUARANTINE_EVIDENCE;
}

auto block_quarantine::isExpired(const tracked_block &entry, time_point now) -> bool
{
    const auto lifetime = entry.crashes.empty() && entry.record.evidence == 0 ? CLEARANCE_LIFETIME : EVIDENCE_LIFETIME;
    return !entry.record.quarantined && now - entry.changedAt > lifetime;
}

auto block_quarantine::trialDelay(const block_record &record) -> duration
{
    auto delay = record.sound ? FIRST_TRIAL_DELAY_OF_SOUND : FIRST_TRIAL_DELAY;
    for (auto trial = std::uint32_t(0); trial < record.trials && delay < MAX_TRIAL_DELAY; ++trial) {
        delay *= TRIAL_DELAY_FACTOR;
    }
    return std::min(delay, MAX_TRIAL_DELAY);
}

} // namespace marjoramloom
