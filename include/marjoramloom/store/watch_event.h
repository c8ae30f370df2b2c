#pragma once

#include "marjoramloom/core/boot_clock.h"
#include "marjoramloom/store/object_store.h"

#include <functional>

namespace marjoramloom {

/// Kind of a watch_event.
enum class watch_event_kind {
    put, ///< The object was created or replaced.
    remove, ///< The object was deleted.
    bookmark, ///< Every change up to the event's revision was delivered.
};

template<>
struct enum_names<watch_event_kind>
{
    static constexpr std::array table{
        enum_name<watch_event_kind>{ watch_event_kind::put, "put" },
        enum_name<watch_event_kind>{ watch_event_kind::remove, "delete" },
        enum_name<watch_event_kind>{ watch_event_kind::bookmark, "bookmark" },
    };
};

/// One event of a watch: a change of an object, or a bookmark.
struct watch_event
{
    watch_event_kind kind = watch_event_kind::bookmark;
    std::uint64_t revision = 0;
    stored_object object; ///< Empty for bookmarks.
    /// Bookmarks only: when the request was sent whose response was complete up to the revision.
    boot_time requestedAt;
};

/// Receives the events of one kind in order. Returning false ends the watch.
using watch_callback = std::function<bool(const watch_event &)>;

/// Why a watch ended.
enum class watch_end {
    stopped, ///< The callback returned false.
    expired, ///< The platform no longer holds the changes after the requested revision.
    broken, ///< The connection failed or timed out, or the platform refused the request.
    idle, ///< The request ended after all its changes were delivered, or without any.
};

} // namespace marjoramloom
