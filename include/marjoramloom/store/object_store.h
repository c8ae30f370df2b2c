#pragma once

#include "marjoramloom/core/last_reason.h"

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marjoramloom {

/// One object of the platform's service.
struct stored_object
{
    std::string kind;
    std::string name;
    std::uint64_t revision = 0; ///< Revision of the whole store at which it was last written.
    std::string value;
};

/// What a conditional update led to.
enum class write_result {
    written, ///< Took effect; `current` is the new object.
    conflict, ///< Did not take effect; `current` is what stands there (revision 0: nothing).
    unknown, ///< No clear answer: it may have taken effect, or may yet.
    notSent, ///< Proved: nothing was sent.
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

/// How current an answer has to be.
enum class read_freshness {
    current,
    mayBeStale, ///< May be seconds old, and costs a fraction of a current read.
};

struct write_outcome
{
    write_result result = write_result::unknown;
    stored_object current;
};

/// All objects of a kind at one revision.
struct object_list
{
    std::uint64_t revision = 0;
    std::vector<stored_object> objects;
};

/// Conditional updates on the platform's object API. Each call sets the reason where it yields no clear success.
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
    // Creates; conflict where an object of that name stands.
    {
        store.create(kind, name, value, why)
        } -> std::same_as<boost::asio::awaitable<write_outcome>>;
    // Replaces the object that stands at the given revision.
    {
        store.update(kind, name, value, revision, why)
        } -> std::same_as<boost::asio::awaitable<write_outcome>>;
    // Deletes the object that stands at the given revision.
    {
        store.remove(kind, name, revision, why)
        } -> std::same_as<boost::asio::awaitable<write_outcome>>;
};

} // namespace marjoramloom
