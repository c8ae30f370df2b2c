#pragma once

#include "load.pb.h"
#include "marjoramloom/gateway/knowledge/gateway_state.h"
#include "marjoramloom/gateway/traffic/slot_lease.h"

namespace marjoramloom {

/// Adds the grants \p held by this router to a report, in one message for each dispatcher; only those of the dispatcher
/// \p recipient (a router id) if it is given.
auto writeHeldGrants(const held_grants &held, std::optional<std::uint64_t> recipient,
                     google::protobuf::RepeatedPtrField<wire::SlotsHeld> &messages) -> void;

/// Updates what the sender of \p snapshot holds of the grants of this dispatcher, which has the incarnation \p
/// dispatcher, and removes these from the loads in \p snapshot, as they are counted already.
auto subtractGrants(gateway_state &state, std::uint64_t dispatcher, const wire::LoadReport &report,
                    load_snapshot &snapshot, time_point now) -> void;

} // namespace marjoramloom
