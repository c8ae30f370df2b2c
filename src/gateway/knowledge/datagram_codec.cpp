#include "datagram_codec.h"

#include "marjoramloom/store/store_revision.h"
#include "platform/evacuation_format.h"

#include <algorithm>

namespace marjoramloom {

namespace {

/// Longest history of the contact with the store that is sent.
constexpr auto maxContactAge = std::chrono::milliseconds(600'000);
constexpr auto permille = 1'000.0;

auto readRevision(std::uint32_t era, std::uint64_t number) -> std::uint64_t
{
    return orderedRevision(std::min(era, maxStoreEra), std::min(number, maxRevisionNumber));
}

/// Combines the lists of block ids and token counts; nothing if their lengths differ.
template<typename Message>
auto readPrefixBlocks(const Message &message) -> std::optional<std::vector<prefix_block>>
{
    if (message.parts_size() != message.part_tokens_size()) {
        return std::nullopt;
    }
    auto blocks = std::vector<prefix_block>();
    for (auto index = 0; index < message.parts_size(); ++index) {
        blocks.push_back({ message.parts(index), message.part_tokens(index) });
    }
    return blocks;
}

template<typename Message>
auto writePrefixBlocks(const std::vector<prefix_block> &blocks, Message &message) -> void
{
    for (const auto &block : blocks) {
        message.add_parts(block.id);
        message.add_part_tokens(block.tokens);
    }
}

auto toMicroseconds(duration span) -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::microseconds>(span).count());
}

} // namespace

auto readIdentity(const wire::RouterIdentity &message) -> router_identity
{
    return { .address = message.address(),
             .dataCentre = message.data_centre(),
             .cores = message.cores(),
             .region = message.region() };
}

auto write(const router_identity &identity, wire::RouterIdentity &message) -> void
{
    message.set_address(identity.address);
    message.set_data_centre(identity.dataCentre);
    message.set_cores(static_cast<float>(identity.cores));
    message.set_region(identity.region);
}

auto readReport(std::uint64_t incarnation, const wire::LoadReport &message) -> load_snapshot
{
    auto snapshot =
        load_snapshot{ .router = incarnation, .sequence = message.sequence(), .engines = {}, .accounts = {} };
    for (const auto &engine : message.engines()) {
        snapshot.engines.push_back(
            { engine.server(), engine.running(), engine.unread_tokens(), engine.committed_tokens() });
    }
    for (const auto &account : message.accounts()) {
        snapshot.accounts.push_back({ account.account(), account.started_tokens() });
    }
    return snapshot;
}

auto readPrefill(const wire::PromptRead &message) -> std::optional<prefill_record>
{
    auto blocks = readPrefixBlocks(message);
    if (!blocks) {
        return std::nullopt;
    }
    return prefill_record{ .server = message.server(),
                           .parts = std::move(*blocks),
                           .unsharedTokens = message.own_tokens() };
}

auto write(const prefill_record &prefill, wire::PromptRead &message) -> void
{
    message.set_server(prefill.server);
    writePrefixBlocks(prefill.parts, message);
    message.set_own_tokens(prefill.unsharedTokens);
}

auto readQuery(const wire::PlacementQuery &message) -> std::optional<placement_query>
{
    auto blocks = readPrefixBlocks(message);
    const auto count = std::max(message.engine_parts(), std::uint32_t(1));
    if (!blocks || message.engine_part() >= count) {
        return std::nullopt;
    }
    auto query = placement_query();
    query.service = message.service();
    query.shard = { .index = message.engine_part(), .count = count };
    query.account = message.account();
    query.prompt.parts = std::move(*blocks);
    query.prompt.promptTokens = message.prompt_tokens();
    query.prompt.outputTokens = message.output_tokens();
    query.failedServers.insert(message.failed().begin(), message.failed().end());
    query.fullServers.insert(message.refused().begin(), message.refused().end());
    query.coldServers.insert(message.cold_servers().begin(), message.cold_servers().end());
    if (message.restricted()) {
        query.regions = region_set(message.regions().begin(), message.regions().end());
    }
    query.softwareVersion = message.software_version();
    query.plain = message.plain();
    query.dataCentre = message.data_centre();
    query.alreadySent = message.begun();
    query.beginsStream = message.begins_stream();
    query.objective = std::chrono::milliseconds(message.objective_ms());
    return query;
}

auto write(const placement_query &query, wire::PlacementQuery &message) -> void
{
    message.set_service(query.service);
    writePrefixBlocks(query.prompt.parts, message);
    message.set_prompt_tokens(query.prompt.promptTokens);
    message.set_output_tokens(query.prompt.outputTokens);
    message.set_account(query.account);
    message.set_objective_ms(
        static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(query.objective).count()));
    message.set_engine_part(query.shard.index);
    message.set_engine_parts(query.shard.count);
    for (const auto server : query.failedServers) {
        message.add_failed(server);
    }
    for (const auto server : query.fullServers) {
        message.add_refused(server);
    }
    for (const auto server : query.coldServers) {
        message.add_cold_servers(server);
    }
    message.set_restricted(query.regions.has_value());
    for (const auto &region : query.regions.value_or(region_set())) {
        message.add_regions(region);
    }
    message.set_software_version(query.softwareVersion);
    message.set_begins_stream(query.beginsStream);
    message.set_plain(query.plain);
    if (query.plain) {
        message.set_data_centre(query.dataCentre);
    }
    message.set_begun(query.alreadySent);
    message.set_dry_run(query.trace != nullptr);
}

auto readAnswer(const wire::PlacementAnswer &message) -> placement_answer
{
    return { .number = message.number(),
             .sequence = message.sequence(),
             .server = message.server(),
             .prefillTokens = message.tokens_to_read(),
             .wait = std::chrono::microseconds(message.wait_us()),
             .firstEvent = std::chrono::microseconds(message.first_event_us()),
             .running = message.running(),
             .candidates = message.candidates(),
             .grant = message.grant(),
             .memoryGrant = message.memory_grant(),
             .memoryUse = message.memory_use_permille() / permille,
             .stated = message.has_level_tokens()
                 ? std::optional(stated_level{ message.level_tokens(), message.account_tokens() })
                 : std::nullopt };
}

auto write(const placement_answer &answer, wire::PlacementAnswer &message) -> void
{
    message.set_number(answer.number);
    message.set_sequence(answer.sequence);
    message.set_server(answer.server);
    message.set_tokens_to_read(answer.prefillTokens);
    message.set_wait_us(toMicroseconds(answer.wait));
    message.set_first_event_us(toMicroseconds(answer.firstEvent));
    message.set_running(answer.running);
    message.set_candidates(answer.candidates);
    message.set_grant(answer.grant);
    message.set_memory_grant(answer.memoryGrant);
    message.set_memory_use_permille(static_cast<std::uint32_t>(answer.memoryUse * permille));
    if (answer.stated) {
        message.set_level_tokens(answer.stated->levelTokens);
        message.set_account_tokens(answer.stated->accountTokens);
    }
}

auto readRelease(const wire::SlotRelease &message) -> slot_release
{
    return { .dispatcher = message.dispatcher(),
             .grant = message.grant(),
             .latency = std::chrono::microseconds(message.ran_us()),
             .serverFull = message.full() };
}

auto write(const slot_release &release, wire::SlotRelease &message) -> void
{
    message.set_dispatcher(release.dispatcher);
    message.set_grant(release.grant);
    message.set_ran_us(toMicroseconds(release.latency));
    message.set_full(release.serverFull);
}

auto readCrashReport(const wire::CrashReport &message) -> crash_report
{
    return { .engine = message.engine(),
             .sign = message.began() ? crash_sign::beganAnswer : crash_sign::noAnswer,
             .repeated = message.repeated_crash(),
             .blocks = { message.blocks().begin(), message.blocks().end() } };
}

auto write(const crash_report &report, wire::CrashReport &message) -> void
{
    message.set_engine(report.engine);
    message.set_began(report.sign == crash_sign::beganAnswer);
    message.set_repeated_crash(report.repeated);
    message.mutable_blocks()->Add(report.blocks.begin(), report.blocks.end());
}

auto readBlockRecord(const wire::BlockRecord &message) -> block_record
{
    return { .block = message.block(),
             .clearances = message.clearances(),
             .evidence = message.evidence(),
             .sound = message.sound(),
             .quarantined = message.quarantined(),
             .trials = message.trials() };
}

auto write(const block_record &record, wire::BlockRecord &message) -> void
{
    message.set_block(record.block);
    message.set_clearances(record.clearances);
    message.set_evidence(record.evidence);
    message.set_sound(record.sound);
    message.set_quarantined(record.quarantined);
    message.set_trials(record.trials);
}

auto readEvacuations(const wire::EvacuatedSet &message) -> evacuation_set
{
    auto evacuations = evacuation_set{ .revision = readRevision(message.era(), message.revision()),
                                       .names = {},
                                       .statesEra = message.has_era() };
    for (const auto &name : message.data_centres()) {
        if (platform::isDataCentreName(name)) {
            evacuations.names.insert(name);
        }
    }
    return evacuations;
}

auto write(const evacuation_set &evacuations, wire::EvacuatedSet &message) -> void
{
    message.set_revision(revisionNumber(evacuations.revision));
    message.set_era(eraOf(evacuations.revision));
    for (const auto &name : evacuations.names) {
        message.add_data_centres(name);
    }
}

auto readStoreQuery(const wire::StoreQuestion &message) -> store_query
{
    return { .number = message.number(),
             .serversRevision = readRevision(message.servers_era(), message.servers_revision()),
             .configurationRevision = readRevision(message.configuration_era(), message.configuration_revision()),
             .statesEras = message.has_servers_era() };
}

auto write(const store_query &query, wire::StoreQuestion &message) -> void
{
    message.set_number(query.number);
    message.set_servers_revision(revisionNumber(query.serversRevision));
    message.set_servers_era(eraOf(query.serversRevision));
    message.set_configuration_revision(revisionNumber(query.configurationRevision));
    message.set_configuration_era(eraOf(query.configurationRevision));
}

auto readStoreUpdate(const wire::StoreNews &message) -> store_update
{
    auto update =
        store_update{ .number = message.number(),
                      .validationAge = std::nullopt,
                      .configurationRevision =
                          readRevision(message.configuration_era(), message.configuration_revision()),
                      .configuration = std::nullopt,
                      .serversBaseRevision = readRevision(message.servers_after_era(), message.servers_after()),
                      .serversRevision = readRevision(message.servers_era(), message.servers_revision()),
                      .changes = {},
                      .storeLost = message.store_lost(),
                      .answerAge = std::chrono::milliseconds(message.answer_age_ms()),
                      .renewalLeft = std::chrono::milliseconds(message.renewal_left_ms()) };
    update.statesEras = message.has_servers_era();
    if (message.has_evacuated()) {
        update.evacuations = readEvacuations(message.evacuated());
    }
    if (message.proved()) {
        update.validationAge = std::chrono::milliseconds(message.proof_age_ms());
    }
    if (message.has_servers_proof_age_ms()) {
        update.listAge = std::chrono::milliseconds(message.servers_proof_age_ms());
    }
    if (message.has_configuration()) {
        update.configuration = message.configuration();
    }
    for (const auto &serverChange : message.changes()) {
        auto object = stored_object{ .kind = {},
                                     .name = serverChange.id(),
                                     .revision = readRevision(message.servers_era(), serverChange.revision()),
                                     .value = serverChange.entry() };
        update.changes.push_back({ .object = std::move(object), .removed = serverChange.removed() });
    }
    return update;
}

auto write(const store_update &update, wire::StoreNews &message) -> void
{
    message.set_number(update.number);
    message.set_proved(update.validationAge.has_value());
    message.set_proof_age_ms(
        static_cast<std::uint32_t>(update.validationAge.value_or(std::chrono::milliseconds(0)).count()));
    message.set_configuration_revision(revisionNumber(update.configurationRevision));
    message.set_configuration_era(eraOf(update.configurationRevision));
    if (update.configuration) {
        message.set_configuration(*update.configuration);
    }
    message.set_servers_after(revisionNumber(update.serversBaseRevision));
    message.set_servers_after_era(eraOf(update.serversBaseRevision));
    message.set_servers_revision(revisionNumber(update.serversRevision));
    message.set_servers_era(eraOf(update.serversRevision));
    for (const auto &change : update.changes) {
        auto *serverChange = message.add_changes();
        serverChange->set_id(change.object.name);
        serverChange->set_revision(revisionNumber(change.object.revision));
        serverChange->set_removed(change.removed);
        serverChange->set_entry(change.object.value);
    }
    if (update.listAge) {
        message.set_servers_proof_age_ms(static_cast<std::uint32_t>(update.listAge->count()));
    }
    message.set_store_lost(update.storeLost);
    message.set_answer_age_ms(static_cast<std::uint32_t>(update.answerAge.count()));
    message.set_renewal_left_ms(static_cast<std::uint32_t>(update.renewalLeft.count()));
    if (update.evacuations) {
        write(*update.evacuations, *message.mutable_evacuated());
    }
}

auto readStoreContact(const wire::RouterDatagram &message, boot_time now) -> std::optional<store_contact::interval>
{
    if (message.store_since_ms() == 0 || message.store_since_ms() < message.store_until_ms()) {
        return std::nullopt;
    }
    return store_contact::interval{ .since = now - std::chrono::milliseconds(message.store_since_ms()),
                                    .until = now - std::chrono::milliseconds(message.store_until_ms()) };
}

auto write(const store_contact::interval &answered, boot_time now, wire::RouterDatagram &message) -> void
{
    // Rounded so that the interval never appears longer than it is.
    const auto since = std::chrono::floor<std::chrono::milliseconds>(now - answered.since);
    const auto until = std::chrono::ceil<std::chrono::milliseconds>(now - answered.until);
    if (until < maxContactAge) {
        message.set_store_since_ms(static_cast<std::uint32_t>(std::min(since, maxContactAge).count()));
        message.set_store_until_ms(static_cast<std::uint32_t>(until.count()));
    }
}

} // namespace marjoramloom
