#pragma once

#include "marjoramloom/core/last_reason.h"

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marjoramloom {

/// One object of the platform's object API.
struct stored_object
{
    std::string kind;
    std::string name;
    std::uint64_t revision = 0; ///< Store-wide revision of its last write; 0 if it does not exist.
    std::string value;
};

/// Result of a conditional write.
enum class write_result {
    written, ///< It took effect; `current` is the new object.
    conflict, ///< It did not take effect; `current` is the existing object (revision 0: it does not exist or could not
              ///< be read).
    unknown, ///< It may have taken effect, or may still do so.
    notSent, ///< It is certain that it did not and will not take effect.
};

template<>
struct enum_names<write_result>
{
    static constexpr std::array table{
        enum_name<write_result>{ write_result::written, "written" },
        enum_name<write_result>{ write_result::conflict, "conflict" },
        enum_name<write_result>{ write_result::unknown, "unknown" },
        enum_name<write_result>{ write_result::notSent, "not_sent" },
    };
};

/// How up to date a read has to be.
enum class read_freshness {
    current, ///< As of the time of the read.
    mayBeStale, ///< May be seconds old, but costs a fraction of a current read.
};

/// Result of a conditional write, and the object as it is afterwards.
struct write_outcome
{
    write_result result = write_result::unknown;
    stored_object current;
};

/// All objects of a kind.
struct object_list
{
    std::uint64_t revision = 0; ///< A watch that starts after it misses no change.
    std::vector<stored_object> objects;
};

/// A store of objects with conditional writes, such as the platform's object API. Each call sets `why` unless it
/// certainly succeeded.
template<typename Store>
concept object_store = requires(Store &store, const std::string &kind, const std::string &name,
                                const std::string &value, std::uint64_t revision, last_reason &why)
{
    {
        store.get(kind, name, why)
        } -> std::same_as<boost::asio::awaitable<std::optional<stored_object>>>;
    {
        store.list(kind, why)
        } -> std::same_as<boost::asio::awaitable<std::optional<object_list>>>;
    // Creates an object; conflict where one of that name exists.
    {
        store.create(kind, name, value, why)
        } -> std::same_as<boost::asio::awaitable<write_outcome>>;
    // Replaces the object if it is at the given revision.
    {
        store.update(kind, name, value, revision, why)
        } -> std::same_as<boost::asio::awaitable<write_outcome>>;
    // Deletes the object if it is at the given revision.
    {
        store.remove(kind, name, revision, why)
        } -> std::same_as<boost::asio::awaitable<write_outcome>>;
};

} // namespace marjoramloom
