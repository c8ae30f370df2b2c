#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace marjoramloom {

/// One run of a backend server, as it lists itself. A restart under the same name is another run.
struct listed_server
{
    std::string id;
    std::string service;
    std::string address; ///< IP:port.
    std::string dataCentre;
    std::uint32_t slots = 1;
    bool leaving = false; ///< Takes no new requests.
    std::chrono::milliseconds warmUpLeft{ 0 }; ///< How much longer it is slow after its start.
    std::int64_t startedMs = 0; ///< Unix time of its start.

    /// Whether both describe the same run.
    [[nodiscard]] auto sameRun(const listed_server &other) const -> bool
    {
        return id == other.id && startedMs == other.startedMs && address == other.address;
    }
};

} // namespace marjoramloom
