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

/// Writes the answer of a generation, as one response or as server-sent events, and applies stream faults to it.
class event_writer
{
public:
    /// Streams the events from number \p first to the end of the answer, as they are generated.
    auto stream(http_exchange &exchange, std::shared_ptr<generation> work, std::size_t first, stream_faults faults)
        -> void_awaitable;

    /// Sends the complete answer in one response, when it is generated.
    auto whole(http_exchange &exchange, std::shared_ptr<generation> work, stream_faults faults) -> void_awaitable;

private:
    auto sendEvent(http_exchange &exchange, const generation &work, std::size_t number, const stream_faults &faults)
        -> void_awaitable;
};

} // namespace standins
