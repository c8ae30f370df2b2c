#pragma once

#include "marjoramloom/core/boot_clock.h"
#include "marjoramloom/store/object_store.h"

#include <functional>

namespace marjoramloom {

enum class watch_event_kind {
    put,
    remove,
    bookmark, ///< Every change up to the revision was delivered.
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

/// One event of a watch.
struct watch_event
{
    watch_event_kind kind = watch_event_kind::bookmark;
    std::uint64_t revision = 0;
    stored_object object; ///< Empty for bookmarks.
    boot_time askedAt; ///< Bookmarks only: when the call began that showed the store's state at the revision.
};

/// Receives events in order; false ends the watch.
using watch_callback = std::function<bool(const watch_event &)>;

/// Why a watch ended.
enum class watch_end {
    stopped, ///< The callback returned false.
    expired, ///< The platform no longer keeps the changes asked for.
    broken, ///< The connection ended or fell silent, or the platform refused.
    idle, ///< Nothing changed while the call waited, or every change was delivered.
};

} // namespace marjoramloom
