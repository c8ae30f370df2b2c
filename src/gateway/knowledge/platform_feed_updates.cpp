// Updates about the store's contents to and from other routers.
#include "marjoramloom/core/event_loop.h"
#include "marjoramloom/core/log.h"
#include "marjoramloom/gateway/knowledge/platform_feed.h"
#include "marjoramloom/store/store_revision.h"
#include "platform/configuration_format.h"

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

/// Ages are reported up to this limit.
constexpr auto maxReportedAge = std::chrono::milliseconds(600'000);

/// A revision from a router that knows nothing of eras, as one of the era of \p own.
auto inEraOf(std::uint64_t own, std::uint64_t revision) -> std::uint64_t
{
    return revision != 0 ? orderedRevision(eraOf(own), revision) : revision;
}

} // namespace

auto platform_feed::takeQuery(store_query query) -> store_query
{
    if (query.statesEras) {
        m_client.noteEraOfOthers(eraOf(std::max(query.serversRevision, query.configurationRevision)));
    } else {
        query.serversRevision = inEraOf(m_serverChanges.revision(), query.serversRevision);
        query.configurationRevision = inEraOf(m_configurationRevision, query.configurationRevision);
    }
    return query;
}

auto platform_feed::inOwnEras(store_update update) const -> store_update
{
    if (!update.statesEras) {
        update.configurationRevision = inEraOf(m_configurationRevision, update.configurationRevision);
        update.serversBaseRevision = inEraOf(m_serverChanges.revision(), update.serversBaseRevision);
        update.serversRevision = inEraOf(m_serverChanges.revision(), update.serversRevision);
        for (auto &change : update.changes) {
            change.object.revision = inEraOf(m_serverChanges.revision(), change.object.revision);
        }
    }
    return update;
}

auto platform_feed::updateSince(std::uint64_t serversRevision, std::uint64_t configurationRevision) const
    -> store_update
{
    auto update = store_update();
    const auto age = m_state.keys.age(boot_clock::now());
    if (m_isNewestApplied && m_state.keys.isFresh(boot_clock::now())) {
        // Rounded up, so that the validation never appears newer than it is.
        update.validationAge = std::chrono::ceil<std::chrono::milliseconds>(age);
    }
    update.configurationRevision = m_configurationRevision;
    const auto needsConfiguration = configurationRevision > 0 && configurationRevision < m_configurationRevision;
    if (needsConfiguration && m_configuration.size() <= MAX_RELAYED_CONFIGURATION) {
        update.configuration = m_configuration;
    }
    auto changes = m_serverChanges.changesAfter(serversRevision, MAX_CHANGES_PER_UPDATE, MAX_CHANGE_BYTES_PER_UPDATE);
    update.serversBaseRevision = changes ? serversRevision : m_serverChanges.revision();
    update.serversRevision = m_serverChanges.revision();
    const auto isTruncated =
        changes && !changes->empty() && changes->back().object.revision < m_serverChanges.newestChange();
    if (isTruncated) {
        update.serversRevision = changes->back().object.revision;
    } else if (m_state.serverListFreshness.isFresh(boot_clock::now())) {
        update.listAge =
            std::chrono::ceil<std::chrono::milliseconds>(m_state.serverListFreshness.age(boot_clock::now()));
    }
    if (changes) {
        update.changes = std::move(*changes);
    }
    update.storeLost = m_storeLost;
    update.answerAge = std::min(
        std::chrono::ceil<std::chrono::milliseconds>(system_clock_source().now() - m_lastOwnAnswer), maxReportedAge);
    update.renewalLeft = m_state.servers.renewalLeft(system_clock_source().now());
    return update;
}

auto platform_feed::applyUpdate(const store_update &received, std::optional<boot_time> queriedAt) -> bool
{
    const auto update = inOwnEras(received);
    m_client.noteEraOfOthers(eraOf(std::max(update.serversRevision, update.configurationRevision)));
    const auto now = system_clock_source().now();
    if (update.configuration && update.configurationRevision > m_configurationRevision) {
        applyConfiguration({ .kind = std::string(platform::configurationKind),
                             .name = std::string(platform::configurationName),
                             .revision = update.configurationRevision,
                             .value = *update.configuration },
                           "router");
    }
    if (update.storeLost) {
        if (!m_watching && now - m_lastAnswer > LOST_REPORT_DELAY) {
            auto why = last_reason();
            why.fail(failure_kind::unavailable, "query watcher", "platform",
                     "the watcher gets no answer from the store");
            noteStoreFailure(why);
        }
        return false;
    }
    if (m_watching) {
        // The store is available, although this router may get no answer from it.
        m_state.servers.onStoreRegained(now);
    } else {
        noteStoreAnswer();
    }
    m_state.servers.expectRenewals(now + update.renewalLeft);
    limitRenewals(now);
    // A router that has not noticed an era may know the newest revisions only of the one before.
    const auto isBehind = eraOf(update.serversRevision) < eraOf(m_serverChanges.revision())
        || eraOf(update.configurationRevision) < eraOf(m_configurationRevision);
    const auto isListContinued = m_state.hasServers && update.serversBaseRevision <= m_serverChanges.revision();
    if (isListContinued) {
        for (const auto &change : update.changes) {
            applyServer(change);
        }
        m_serverChanges.advanceTo(update.serversRevision);
        m_serversWatchRevision = std::max(m_serversWatchRevision, update.serversRevision);
        if (update.listAge && queriedAt && !isBehind) {
            m_state.serverListFreshness.noteValidation(*queriedAt - *update.listAge);
        }
    }
    const auto hasNewestConfiguration = update.configurationRevision <= m_configurationRevision;
    m_state.hasNewerConfiguration = m_state.hasNewerConfiguration || !hasNewestConfiguration;
    if (hasNewestConfiguration && m_isNewestApplied && !isBehind && update.validationAge && queriedAt) {
        m_state.keys.noteValidation(*queriedAt - *update.validationAge);
    }
    if (m_watching && !m_storeLost) {
        // The watch is about to deliver what is missing; the update only shows whether watching is still necessary.
        return update.configurationRevision >= m_configurationRevision && !isBehind;
    }
    m_needsServers = m_needsServers || (!isListContinued && update.serversRevision > 0);
    m_needsConfiguration = m_needsConfiguration || !hasNewestConfiguration;
    if ((m_needsServers || m_needsConfiguration) && !m_isReadingMissing && now >= m_nextMissingRead) {
        m_isReadingMissing = true;
        runTask(m_executor, "missing changes", m_state.counters, [this] { return readMissing(); });
    }
    return isListContinued && hasNewestConfiguration && !isBehind;
}

/// Reads the missing configuration or list of servers from the store once. A failed read is retried with an update of
/// another router after MISSING_READ_INTERVAL.
auto platform_feed::readMissing() -> asio::awaitable<void>
{
    m_isReadingMissing = true;
    auto why = last_reason();
    auto complete = true;
    if (std::exchange(m_needsConfiguration, false) && !co_await listConfiguration(why)) {
        log_line(log_level::warning, "refresh_failed").with("reason", why.text());
        complete = false;
    }
    if (std::exchange(m_needsServers, false) && !co_await listServers(why)) {
        log_line(log_level::warning, "refresh_failed").with("reason", why.text());
        complete = false;
    }
    if (!complete) {
        m_nextMissingRead = system_clock_source().now() + MISSING_READ_INTERVAL;
    }
    m_isReadingMissing = false;
}

} // namespace marjoramloom
