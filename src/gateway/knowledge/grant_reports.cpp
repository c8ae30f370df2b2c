#include "grant_reports.h"

#include <algorithm>
#include <set>

namespace marjoramloom {

namespace {

/// Reduces \p field of each engine in \p snapshot by the amount in \p retained.
template<typename Amount>
auto subtract(const std::map<std::uint64_t, Amount> &retained, std::uint32_t engine_load::*field,
              load_snapshot &snapshot) -> void
{
    for (auto &load : snapshot.engines) {
        const auto granted = retained.find(load.server);
        if (granted != retained.end()) {
            load.*field -= static_cast<std::uint32_t>(std::min<std::uint64_t>(load.*field, granted->second));
        }
    }
}

auto heldNumbers(const wire::SlotsHeld &message) -> std::set<std::uint64_t>
{
    return { message.held().begin(), message.held().end() };
}

} // namespace

auto writeHeldGrants(const held_grants &held, std::optional<std::uint64_t> recipient,
                     google::protobuf::RepeatedPtrField<wire::SlotsHeld> &messages) -> void
{
    for (const auto &[dispatcher, grants] : held.all()) {
        if (recipient && grants.router != *recipient) {
            continue;
        }
        auto *message = messages.Add();
        message->set_dispatcher(dispatcher);
        message->set_last(grants.last);
        message->mutable_held()->Add(grants.held.begin(), grants.held.end());
    }
}

auto subtractGrants(gateway_state &state, std::uint64_t dispatcher, const wire::LoadReport &report,
                    load_snapshot &snapshot, time_point now) -> void
{
    for (const auto &slots : report.slots()) {
        if (slots.dispatcher() == dispatcher) {
            const auto retained = state.slotGrants.reconcile(snapshot.router, slots.last(), heldNumbers(slots), now);
            subtract(retained, &engine_load::running, snapshot);
        }
    }
    for (const auto &memory : report.memory()) {
        if (memory.dispatcher() == dispatcher) {
            const auto retained =
                state.memoryGrants.reconcile(snapshot.router, memory.last(), heldNumbers(memory), now);
            subtract(retained, &engine_load::committedTokens, snapshot);
        }
    }
}

} // namespace marjoramloom
