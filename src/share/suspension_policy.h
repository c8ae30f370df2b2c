#pragma once

#include "marjoramloom/share/ticket.h"

#include <functional>
#include <vector>

namespace marjoramloom {

class running_work;

/// Chooses running long requests that give their place to waiting short ones.
///
/// The one that used least is chosen: resuming repeats what it used, less what a prefix cache still holds. A request
/// must have run for a while since its last start, and its router caps how often one may be suspended, so that none
/// starves and little work is repeated. Not thread safe.
class suspension_policy
{
public:
    /// What a choice depends on.
    struct demand
    {
        std::size_t slots = 0; ///< Slots that short work lacks.
        double shortService = 0; ///< Virtual service of the account whose short ticket is due first.
        double allowance = 0; ///< Virtual service by which that account may be ahead of a victim's.
        object_id shortAccount;
    };

    using service_function = std::function<double(object_id)>; ///< Virtual service of an account.
    using server_function = std::function<bool(object_id)>; ///< Whether short work may use a server.

    /// Number of running requests that could be suspended now, as far as fairness allows.
    [[nodiscard]] auto candidates(const running_work &running, const server_function &usable, time_point now) const
        -> std::size_t;

    /// Marks the chosen requests in \p running and returns them.
    [[nodiscard]] auto choose(running_work &running, const demand &wanted, const service_function &serviceOf,
                              const server_function &usable, time_point now) const -> std::vector<suspension>;
};

} // namespace marjoramloom
