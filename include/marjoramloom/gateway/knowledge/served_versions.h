#pragma once

#include "marjoramloom/core/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace marjoramloom {

/// Id of a software version: a hash of its name, equal on every router. Never 0, which stands for "any" or "unknown".
auto softwareVersionId(const std::string &name) -> std::uint64_t;

/// The software versions of each service whose backend servers may have begun streams that go on now.
///
/// A version counts from its first listed server until no server of it has been listed for the horizon, which is longer
/// than a stream lasts. A router that starts takes the versions of the time before from the record in the store. While
/// a service has a single version, every stream was begun by that one. Not thread safe.
class served_versions
{
public:
    /// Names of versions by service.
    using version_names = std::map<std::string, std::set<std::string>>;

    /// Sets for how long a version counts after its last server was listed.
    auto setHorizon(duration horizon) -> void;
    [[nodiscard]] auto horizon() const -> duration;

    /// Records that a server of \p version is listed for \p service, or that the record in the store has it.
    auto noteServed(const std::string &service, const std::string &version, time_point now) -> void;

    /// Records that the versions of the time before the start of this router are known.
    auto noteRecordRead() -> void;

    /// Whether noteRecordRead() was called.
    [[nodiscard]] auto isRecordRead() const -> bool;

    /// Whether servers of several versions may have begun streams of \p service that go on now.
    [[nodiscard]] auto isMixed(const std::string &service, time_point now) const -> bool;

    /// Id of the version that began every stream of \p service; nothing if there are several, or if the versions of
    /// the time before the start of this router are not known.
    [[nodiscard]] auto soleVersion(const std::string &service, time_point now) const -> std::optional<std::uint64_t>;

    /// All versions that count at \p now.
    [[nodiscard]] auto recent(time_point now) const -> version_names;

private:
    duration m_horizon = std::chrono::seconds(60);
    bool m_isRecordRead = false;
    std::map<std::string, std::map<std::string, time_point>> m_lastServed; ///< By service and version.
};

} // namespace marjoramloom
