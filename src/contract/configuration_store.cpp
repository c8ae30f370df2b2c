#include "marjoramloom/contract/configuration_store.h"

#include "marjoramloom/contract/configuration_check.h"
#include "marjoramloom/contract/configuration_codec.h"
#include "marjoramloom/core/log.h"

#include <boost/json.hpp>

namespace marjoramloom {

namespace json = boost::json;

namespace {

constexpr auto maxRecentChanges = std::size_t(2'048);
constexpr auto maxRecentBytes = std::size_t(8) << 20U;
constexpr auto snapshotPrefix = std::string_view(R"({"snapshot":)");

auto summaryOf(const configuration_change &change) -> change_summary
{
    auto summary = change_summary{ change.sequence, change.id, change.author, change.unixMs, {} };
    for (const auto &operation : change.operations) {
        auto line = std::string(nameOf(operation.operation)) + " ";
        line += std::string(nameOf(operation.kind)) + "/" + operation.name;
        summary.objects.push_back(std::move(line));
    }
    return summary;
}

auto parseSnapshot(const std::string &value) -> std::optional<configuration>
{
    auto error = boost::system::error_code();
    const auto root = json::parse(value, error);
    const auto *body = !error && root.is_object() ? root.get_object().if_contains("snapshot") : nullptr;
    if (body == nullptr || !body->is_object()) {
        return std::nullopt;
    }
    auto problems = configuration_problems();
    return configurationFromJson(body->get_object(), problems);
}

} // namespace

configuration_store::configuration_store(counter_registry &counters)
    : m_appliedChanges(counters.at("marjoramloom_configuration_changes_total"))
    , m_skippedChanges(counters.at("marjoramloom_configuration_stepped_over_total"))
    , m_cell(std::make_shared<const configuration>())
{
}

auto configuration_store::offer(std::uint64_t sequence, const std::string &value, change_source source) -> offer_result
{
    const auto lock = std::lock_guard(m_applyMutex);
    const auto current = m_sequence.load(std::memory_order_acquire);
    if (sequence <= current) {
        return offer_result::alreadyApplied;
    }
    if (value.starts_with(snapshotPrefix)) {
        return applySnapshot(sequence, value, source);
    }
    if (sequence != current + 1) {
        return offer_result::gap;
    }
    applyChange(sequence, value, source);
    return offer_result::applied;
}

auto configuration_store::applyChange(std::uint64_t sequence, const std::string &value, change_source source) -> void
{
    const auto before = m_cell.read();
    auto problems = configuration_problems();
    auto change = changeFromText(value, problems);
    auto summary = change_summary{ .sequence = sequence, .id = {}, .author = {}, .unixMs = 0, .objects = {} };
    auto next = *before;
    next.sequence = sequence;
    if (change) {
        change->sequence = sequence;
        summary = summaryOf(*change);
        auto after = applyOperations(*before, *change);
        problems = checkConfiguration(after);
        if (problems.empty()) {
            next = std::move(after);
        }
    }
    if (!problems.empty()) {
        reportSkippedChange(sequence, problems.front().message());
    }
    addRecentChange({ sequence, value }, std::move(summary));
    publish(std::move(next), source);
}

auto configuration_store::applySnapshot(std::uint64_t sequence, const std::string &value, change_source source)
    -> offer_result
{
    auto next = parseSnapshot(value);
    if (!next || next->sequence != sequence) {
        return offer_result::malformed;
    }
    {
        const auto lock = std::lock_guard(m_recentChangesMutex);
        m_recentChanges.clear();
    }
    publish(std::move(*next), source);
    return offer_result::applied;
}

auto configuration_store::publish(configuration next, change_source source) -> void
{
    const auto sequence = next.sequence;
    const auto shared = std::make_shared<const configuration>(std::move(next));
    m_cell.publish(shared);
    m_sequence.store(sequence, std::memory_order_release);
    m_appliedChanges.add();
    log_line(log_level::info, "configuration").with("sequence", sequence).with("source", nameOf(source));
    for (const auto &callback : m_listeners) {
        callback(shared);
    }
}

auto configuration_store::reportSkippedChange(std::uint64_t sequence, const std::string &problem) -> void
{
    m_skippedChanges.add();
    log_line(log_level::error, "configuration_stepped_over").with("sequence", sequence).with("problem", problem);
}

auto configuration_store::addRecentChange(relayed_change change, change_summary summary) -> void
{
    const auto lock = std::lock_guard(m_recentChangesMutex);
    m_recentChanges.push_back({ std::move(change), std::move(summary) });
    auto bytes = std::size_t(0);
    for (const auto &recent : m_recentChanges) {
        bytes += recent.change.value.size();
    }
    while (m_recentChanges.size() > maxRecentChanges || (bytes > maxRecentBytes && m_recentChanges.size() > 1)) {
        bytes -= m_recentChanges.front().change.value.size();
        m_recentChanges.pop_front();
    }
}

auto configuration_store::changesAfter(std::uint64_t sequence, std::size_t limit) const -> std::vector<relayed_change>
{
    auto changes = std::vector<relayed_change>();
    {
        const auto lock = std::lock_guard(m_recentChangesMutex);
        const auto complete = !m_recentChanges.empty() && m_recentChanges.front().change.sequence <= sequence + 1;
        for (const auto &recent : m_recentChanges) {
            if (complete && recent.change.sequence > sequence && changes.size() < limit) {
                changes.push_back(recent.change);
            }
        }
    }
    if (changes.empty() && limit > 0 && this->sequence() > sequence) {
        changes.push_back(snapshot());
    }
    return changes;
}

auto configuration_store::summariesAfter(std::uint64_t sequence) const -> std::vector<change_summary>
{
    const auto lock = std::lock_guard(m_recentChangesMutex);
    auto summaries = std::vector<change_summary>();
    for (const auto &recent : m_recentChanges) {
        if (recent.summary.sequence > sequence) {
            summaries.push_back(recent.summary);
        }
    }
    return summaries;
}

auto configuration_store::findChange(const std::string &id) const -> std::optional<std::uint64_t>
{
    const auto lock = std::lock_guard(m_recentChangesMutex);
    for (const auto &recent : m_recentChanges) {
        if (!id.empty() && recent.summary.id == id) {
            return recent.summary.sequence;
        }
    }
    return std::nullopt;
}

auto configuration_store::snapshot() const -> relayed_change
{
    const auto all = m_cell.read();
    return { all->sequence, std::string(snapshotPrefix) + json::serialize(toJson(*all)) + "}" };
}

auto configuration_store::addListener(listener callback) -> void
{
    const auto lock = std::lock_guard(m_applyMutex);
    m_listeners.push_back(std::move(callback));
}

auto configuration_store::noteLoaded() -> void
{
    m_loaded.store(true, std::memory_order_release);
}

auto configuration_store::notePeerSequence(std::uint64_t sequence) -> void
{
    auto highest = m_highestPeerSequence.load(std::memory_order_relaxed);
    while (sequence > highest
           && !m_highestPeerSequence.compare_exchange_weak(highest, sequence, std::memory_order_relaxed)) {}
}

auto configuration_store::isUpToDate() const -> bool
{
    const auto loaded = m_loaded.load(std::memory_order_acquire) || sequence() > 0;
    return loaded && sequence() >= m_highestPeerSequence.load(std::memory_order_relaxed);
}

} // namespace marjoramloom
