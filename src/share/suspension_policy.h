#pragma once

#include "marjoramloom/share/ticket.h"

#include <functional>
#include <vector>

namespace marjoramloom {

class running_work;

/// Chooses running long requests to suspend so that waiting short ones get their slots.
///
/// The request that used least is chosen, because resuming it repeats the work done so far except what a prefix cache
/// still holds. A request must have run for some time since its last start, and its router limits the number of its
/// suspensions, so that no request starves and little work is repeated. Not thread safe.
class suspension_policy
{
public:
    /// Demand of short work that a choice depends on.
    struct demand
    {
        std::size_t slots = 0; ///< Slots that short work lacks.
        double shortService = 0; ///< Virtual service of shortAccount.
        double allowance = 0; ///< Virtual service by which shortAccount may lead the account of a suspended request.
        object_id shortAccount; ///< Account with the lowest virtual service among those with waiting short work.
    };

    using service_function = std::function<double(object_id)>; ///< Virtual service of an account.
    using server_function = std::function<bool(object_id)>; ///< Whether short work may use a server.

    /// Number of running requests that may be suspended now, before the accounts' virtual services are compared.
    [[nodiscard]] auto candidates(const running_work &running, const server_function &usable, time_point now) const
        -> std::size_t;

    /// Chooses requests, marks them as suspended in \p running and returns the suspensions to send.
    [[nodiscard]] auto choose(running_work &running, const demand &shortDemand, const service_function &serviceOf,
                              const server_function &usable, time_point now) const -> std::vector<suspension>;
};

} // namespace marjoramloom
