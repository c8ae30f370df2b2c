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
/// a service has a single version, every stream was begun by that one.
///
/// A router may not know yet that a version has joined, and take its streams for those of another one. So streams begin
/// at a new version only after LAUNCH_DELAY, and a router relies on its list of servers only for LIST_LIFETIME after a
/// read that showed it to be current: a list that lacks the version is then older than that whenever a stream of the
/// version goes on. Not thread safe.
class served_versions
{
public:
    /// Longer than a list ages between two reads by a router that watches the store, and the query of one that does
    /// not.
    static constexpr std::chrono::milliseconds LIST_LIFETIME{ 3'500 };
    /// Longer than LIST_LIFETIME, by more than the answer to a question takes.
    static constexpr std::chrono::milliseconds LAUNCH_DELAY{ 4'000 };

    /// Names of versions by service.
    using version_names = std::map<std::string, std::set<std::string>>;

    /// Sets for how long a version counts after its last server was listed.
    auto setHorizon(duration horizon) -> void;
    [[nodiscard]] auto horizon() const -> duration;

    /// How a version is known.
    enum class source {
        firstList, ///< A server of it is in the first list that this router read.
        laterList, ///< A server of it joined later.
        record, ///< It is in the record in the store, so it served before this router started.
    };

    /// Records that \p version of \p service serves.
    auto noteServed(const std::string &service, const std::string &version, source from, time_point now) -> void;

    /// Records that the versions of the time before the start of this router are known.
    auto noteRecordRead() -> void;

    /// Whether noteRecordRead() was called.
    [[nodiscard]] auto isRecordRead() const -> bool;

    /// Whether servers of several versions may have begun streams of \p service that go on now.
    [[nodiscard]] auto isMixed(const std::string &service, time_point now) const -> bool;

    /// Id of the version that began every stream of \p service; nothing if there are several, or if the versions of
    /// the time before the start of this router are not known.
    [[nodiscard]] auto soleVersion(const std::string &service, time_point now) const -> std::optional<std::uint64_t>;

    /// Whether \p version of \p service is known for less than LAUNCH_DELAY and joined another one that counts, so that
    /// no stream that may be resumed begins at it yet. A version in the first list joined those in the record.
    [[nodiscard]] auto isNew(const std::string &service, const std::string &version, time_point now) const -> bool;

    /// All versions that count at \p now.
    [[nodiscard]] auto recent(time_point now) const -> version_names;

private:
    struct served_span
    {
        time_point first;
        time_point last;
        source from = source::laterList;
    };

    [[nodiscard]] auto counts(const served_span &span, time_point now) const -> bool;

    duration m_horizon = std::chrono::seconds(60);
    bool m_isRecordRead = false;
    std::map<std::string, std::map<std::string, served_span>> m_served; ///< By service and version.
};

} // namespace marjoramloom
