#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace marjoramloom {

/// One incarnation of a backend server, as it registered itself in the platform's store. A restart under the same name
/// is another incarnation.
struct listed_server
{
    std::string id; ///< Name of its object in the store.
    std::string service;
    std::string address; ///< IP:port.
    std::string dataCentre;
    std::string softwareVersion; ///< What servers of two versions write does not fit together.
    std::uint32_t slots = 1; ///< Requests that it executes at a time.
    bool draining = false; ///< Takes no new requests.
    std::chrono::milliseconds remainingWarmUp{ 0 }; ///< Time until it reaches full speed after its start.
    std::int64_t startUnixMs = 0; ///< Unix time of its start, by the server's clock.
    std::uint64_t revision = 0; ///< Store-wide revision of the entry.

    /// Whether both describe the same incarnation of a server.
    [[nodiscard]] auto isSameIncarnation(const listed_server &other) const -> bool
    {
        return id == other.id && startUnixMs == other.startUnixMs && address == other.address;
    }
};

} // namespace marjoramloom
