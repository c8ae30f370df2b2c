#pragma once

#include "load.pb.h"
#include "marjoramloom/gateway/decisions/block_quarantine.h"
#include "marjoramloom/gateway/decisions/rotation_policy.h"
#include "marjoramloom/gateway/knowledge/fleet_loads.h"
#include "marjoramloom/gateway/knowledge/router_roster.h"
#include "marjoramloom/gateway/knowledge/store_contact.h"
#include "marjoramloom/gateway/knowledge/store_update.h"
#include "marjoramloom/gateway/traffic/placement_dispatch.h"

#include <optional>
#include <vector>

namespace marjoramloom {

// Conversions between the router's types and the messages of load.proto. All are thread safe. Those that return an
// optional return nothing if the message is inconsistent.

auto readIdentity(const wire::RouterIdentity &message) -> router_identity;
auto write(const router_identity &identity, wire::RouterIdentity &message) -> void;

auto readReport(std::uint64_t incarnation, const wire::LoadReport &message) -> load_snapshot;
auto readPrefill(const wire::PromptRead &message) -> std::optional<prefill_record>;
auto write(const prefill_record &prefill, wire::PromptRead &message) -> void;

auto readQuery(const wire::PlacementQuery &message) -> std::optional<placement_query>;
auto write(const placement_query &query, wire::PlacementQuery &message) -> void;

auto readAnswer(const wire::PlacementAnswer &message) -> placement_answer;
auto write(const placement_answer &answer, wire::PlacementAnswer &message) -> void;

auto readRelease(const wire::SlotRelease &message) -> slot_release;
auto write(const slot_release &release, wire::SlotRelease &message) -> void;

auto readUse(const wire::RouterUse &message, time_point now) -> router_use;
auto write(const router_use &use, time_point now, wire::RouterUse &message) -> void;

auto readCrashReport(const wire::CrashReport &message) -> crash_report;
auto write(const crash_report &report, wire::CrashReport &message) -> void;

auto readBlockRecord(const wire::BlockRecord &message) -> block_record;
auto write(const block_record &record, wire::BlockRecord &message) -> void;

auto readStoreQuery(const wire::StoreQuestion &message) -> store_query;
auto write(const store_query &query, wire::StoreQuestion &message) -> void;

auto readStoreUpdate(const wire::StoreNews &message) -> store_update;
auto write(const store_update &update, wire::StoreNews &message) -> void;

auto readEvacuations(const wire::EvacuatedSet &message) -> evacuation_set;
auto write(const evacuation_set &evacuations, wire::EvacuatedSet &message) -> void;

/// The interval in which the store answered, as of the arrival of \p message at \p now; nothing if it is unknown.
auto readStoreContact(const wire::RouterDatagram &message, boot_time now) -> std::optional<store_contact::interval>;
auto write(const store_contact::interval &answered, boot_time now, wire::RouterDatagram &message) -> void;

} // namespace marjoramloom
