#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/gateway/decisions/crash_moments.h"
#include "marjoramloom/gateway/knowledge/recent_ids.h"
#include "marjoramloom/gateway/traffic/routed_request.h"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// What a caller's request had received when the engine that ran it broke off the connection.
enum class crash_sign {
    noAnswer, ///< Nothing: it may still have waited there.
    beganAnswer, ///< The head of the answer, but no event: the engine had just begun to write.
};

/// A request that broke off at an engine before its first event.
struct crash_report
{
    std::uint64_t engine = 0; ///< Incarnation of the engine, see server_loads::incarnationId().
    crash_sign sign = crash_sign::noAnswer;
    bool repeated = false; ///< The request had broken off at another engine before.
    std::vector<std::uint64_t> blocks; ///< Ids of the prompt's prefix blocks in order, without the last.
};

/// What is known of one prefix block, as routers exchange it.
struct block_record
{
    std::uint64_t block = 0;
    std::uint32_t clearances = 0; ///< How often it was cleared; evidence before the last clearance does not count.
    std::uint32_t evidence = 0; ///< Sum of the weights of the crashes since the last clearance.
    bool sound = false; ///< Engines began answers on it lately.
    bool quarantined = false;
    std::uint32_t trials = 0; ///< Requests that were let through since it is quarantined.
};

/// Finds prefix blocks that crash engines, and keeps requests with them from the engines.
///
/// When an engine crashes, all its requests break off. The prompts of those that had no event yet are suspects; a
/// request whose answer had begun weighs more than one that may still have waited. A block is quarantined once it is
/// among the suspects at several crashes and no engine has begun an answer on it since: the first event of a prompt
/// clears all its blocks except the last, which is never shared. Of several such blocks in one prompt only the one
/// with most evidence is quarantined, of equal ones the last.
///
/// Crashes of other causes must not quarantine anything. Engines that crash together count once, and where they are
/// many, requests that may have waited there do not count at all. A block on which engines began answers lately needs
/// more evidence, and is tried again sooner.
///
/// The routers send each other their reports and clearances, so that each decides from the evidence of all. They
/// compare digests of what is quarantined, which makes up for lost messages and informs routers that start or were cut
/// off. After a growing time one router lets one request through to see whether the block still crashes engines: the
/// first in an order of all routers that gets such a request in its turn. Not thread safe.
class block_quarantine
{
public:
    /// Sends something to all other routers, or loses it silently.
    struct publisher
    {
        std::function<void(const crash_report &report)> onReport;
        std::function<void(const block_record &record)> onRecord;
    };

    enum class verdict {
        allowed,
        trial, ///< Allowed to find out whether a quarantined block still crashes engines; not to be sent again.
        refused,
    };

    auto setPublisher(publisher target) -> void;

    /// This router's place in the order of the routers that let a request with \p block through for a trial, from 0.
    using trial_order = std::function<std::size_t(std::uint64_t block)>;

    /// Decides about a prompt with these prefix blocks. The verdict trial counts as one.
    auto check(std::span<const prefix_block> blocks, const trial_order &trialOrder, time_point now) -> verdict;

    /// Whether one of the blocks is quarantined.
    [[nodiscard]] auto isQuarantined(std::span<const prefix_block> blocks) const -> bool;

    /// Whether a request that broke off before its first event may be sent to another engine. A request that may
    /// complete the evidence against a block is not.
    [[nodiscard]] auto mayResend(std::span<const prefix_block> blocks) const -> bool;

    /// Time until the next trial of the quarantined blocks among \p blocks; 0 if none is.
    [[nodiscard]] auto timeToTrial(std::span<const prefix_block> blocks, time_point now) const -> duration;

    /// Records that a request of this router broke off before its first event, and publishes it. \p repeated: it had
    /// broken off at another engine before. Of many in a short time, only some count.
    auto noteBroken(std::uint64_t engine, crash_sign sign, bool repeated, std::span<const prefix_block> blocks,
                    time_point now) -> void;

    /// Records that an engine began the answer to a prompt of this router, and publishes what that clears.
    auto noteAnswerBegun(std::span<const prefix_block> blocks, time_point now) -> void;

    /// Takes over the report of another router.
    auto handleReport(const crash_report &report, time_point now) -> void;

    /// Takes over what another router knows of a block.
    auto handleRecord(const block_record &record, time_point now) -> void;

    /// A number that is equal on routers that have quarantined the same blocks; 0 if none is quarantined.
    [[nodiscard]] auto digest() const -> std::uint64_t;

    /// All that is known. At most MAX_BLOCKS records.
    [[nodiscard]] auto records() const -> std::vector<block_record>;

    /// Number of quarantined blocks.
    [[nodiscard]] auto quarantinedBlocks() const -> std::size_t;

    static constexpr std::size_t MAX_BLOCKS = 256;
    /// Time from the quarantine to the first trial, and for a block that was sound before. Grows with each further
    /// trial.
    static constexpr duration FIRST_TRIAL_DELAY = std::chrono::seconds(20);
    static constexpr duration FIRST_TRIAL_DELAY_OF_SOUND = std::chrono::seconds(5);
    /// If the first router in the order of trials gets no request with the block, the next one's turn comes after this
    /// time, and so on.
    static constexpr duration TRIAL_TURN = std::chrono::seconds(2);

private:
    struct tracked_block
    {
        block_record record; ///< Its evidence is the highest that another router reported.
        std::map<std::uint64_t, crash_sign> crashes; ///< Strongest sign by moment.
        time_point changedAt{};
        time_point clearedAt = time_point::min();
        time_point nextTrialAt{};
    };

    auto apply(const crash_report &report, time_point now) -> void;
    auto clear(tracked_block &entry, time_point now) -> void;
    auto quarantine(tracked_block &entry, time_point now) -> void;
    auto track(std::uint64_t block, time_point now) -> tracked_block &;
    auto makeRoom(time_point now) -> void;
    auto mayReport(crash_sign sign, time_point now) -> bool;
    [[nodiscard]] auto evidence(const tracked_block &entry) const -> std::uint32_t;
    [[nodiscard]] static auto evidenceLimit(const block_record &record) -> std::uint32_t;
    [[nodiscard]] static auto isExpired(const tracked_block &entry, time_point now) -> bool;
    [[nodiscard]] static auto trialDelay(const block_record &record) -> duration;

    /// Weights of the signs of one crash, and the sums from which a block is quarantined.
    static constexpr std::uint32_t NO_ANSWER_WEIGHT = 1;
    static constexpr std::uint32_t BEGAN_ANSWER_WEIGHT = 2;
    static constexpr std::uint32_t QUARANTINE_EVIDENCE = 5;
    static constexpr std::uint32_t QUARANTINE_EVIDENCE_OF_SOUND = 9;
    static constexpr std::size_t MAX_CRASHES_PER_BLOCK = 16;
    static constexpr std::uint32_t TRIAL_DELAY_FACTOR = 4;
    static constexpr duration MAX_TRIAL_DELAY = std::chrono::hours(1);
    /// Evidence that leads to no quarantine within this time is dropped.
    static constexpr duration EVIDENCE_LIFETIME = crash_moments::LIFETIME;
    /// Time for which a clearance outlasts evidence that still arrives from before.
    static constexpr duration CLEARANCE_LIFETIME = std::chrono::minutes(1);
    /// The failure of a data centre breaks off thousands of requests at once. Requests without an answer use half of
    /// it.
    static constexpr std::uint32_t MAX_REPORTS_PER_SECOND = 20;

    publisher m_publisher;
    std::unordered_map<std::uint64_t, tracked_block> m_blocks;
    crash_moments m_moments;
    recent_ids m_soundBlocks; ///< Engines began answers to prompts of this router that have these blocks.
    time_point m_reportsSince{};
    std::uint32_t m_reports = 0; ///< Published in the second from m_reportsSince on.
};

/// The prefix blocks of \p prompt that other prompts may share: all but the last.
auto sharedBlocks(const prompt_summary &prompt) -> std::span<const prefix_block>;

} // namespace marjoramloom
