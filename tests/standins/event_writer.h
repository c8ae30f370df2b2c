#pragma once

#include "generation.h"
#include "http_exchange.h"

#include <boost/json/object.hpp>

namespace standins {

/// Faults that apply to one connection of a stream.
struct stream_faults
{
    std::optional<fault> die;
    std::optional<fault> freeze;
    std::optional<fault> cross;
    std::optional<fault> repeat;
    std::optional<fault> drop;
    std::optional<fault> reorder;

    /// Takes the faults that apply to \p subject from \p faults.
    static auto takeFrom(fault_set &faults, const fault_subject &subject) -> stream_faults;
};

/// Writes answers of generations, whole or as server-sent events, with the faults that apply.
class event_writer
{
public:
    /// Streams the events from number \p first on until the answer ends.
    auto stream(http_exchange &exchange, std::shared_ptr<generation> work, std::size_t first, stream_faults faults)
        -> nothing_awaitable;

    /// Answers with the whole text once it is generated.
    auto whole(http_exchange &exchange, std::shared_ptr<generation> work, stream_faults faults) -> nothing_awaitable;

private:
    auto sendEvent(http_exchange &exchange, const generation &work, std::size_t number, const stream_faults &faults)
        -> nothing_awaitable;
};

} // namespace standins
