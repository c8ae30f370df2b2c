#pragma once

#include "marjoramloom/contract/configuration.h"

#include <limits>

namespace marjoramloom {

/// Inclusive range of allowed values of a number.
template<typename Number>
struct value_range
{
    Number minimum;
    Number maximum;
};

constexpr auto millisecondsPerDay = std::int64_t(86'400'000);
constexpr auto anyUnixMs = value_range<std::int64_t>{ 0, std::numeric_limits<std::int64_t>::max() };

/// The functions below list the fields of each kind of object, for reading as well as writing. A visitor has the
/// functions text(key, value), textList(key, values), number(key, value, range), flag(key, value) and choice(key,
/// value).
template<typename Visitor, typename Object>
auto visitAccountFields(Visitor &visitor, Object &object) -> void
{
    visitor.textList("key_hashes", object.keyHashes);
    visitor.number("weight", object.weight, value_range<double>{ 0.001, 1000 });
    visitor.number("queue_limit", object.queueLimit, value_range<std::int64_t>{ 1, 1'000'000 });
}

template<typename Visitor, typename Object>
auto visitProfileFields(Visitor &visitor, Object &object) -> void
{
    visitor.choice("length", object.length);
    visitor.number("max_wait_ms", object.maxWait, value_range<std::int64_t>{ 1, millisecondsPerDay });
    visitor.number("timeout_ms", object.timeout, value_range<std::int64_t>{ 1, millisecondsPerDay });
    visitor.number("expected_tokens", object.expectedTokens, value_range<double>{ 1, 10'000'000 });
    visitor.flag("hedge", object.hedge);
    visitor.number("retries", object.retries, value_range<std::int64_t>{ 0, 10 });
    visitor.flag("suspendable", object.suspendable);
    visitor.number("max_suspensions", object.maxSuspensions, value_range<std::int64_t>{ 0, 100 });
}

template<typename Visitor, typename Object>
auto visitServiceFields(Visitor &visitor, Object &object) -> void
{
    visitor.choice("kind", object.kind);
    visitor.text("profile", object.profile);
    visitor.flag("repeatable", object.repeatable);
    visitor.number("call_cost", object.callCost, value_range<double>{ 0.001, 10'000'000 });
}

template<typename Visitor, typename Object>
auto visitServerFields(Visitor &visitor, Object &object) -> void
{
    visitor.text("service", object.service);
    visitor.text("data_centre", object.dataCentre);
    visitor.text("address", object.address);
    visitor.number("slots", object.slots, value_range<std::int64_t>{ 1, 100'000 });
    visitor.flag("checks_fencing", object.checksFencing);
}

template<typename Visitor, typename Object>
auto visitStopFields(Visitor &visitor, Object &object) -> void
{
    visitor.text("backend_server", object.backendServer);
    visitor.number("at_unix_ms", object.atUnixMs, anyUnixMs);
    visitor.number("until_unix_ms", object.untilUnixMs, anyUnixMs);
}

/// Visits the fields of \p object except its name.
template<typename Visitor, typename Object>
auto visitFields(Visitor &visitor, Object &object) -> void
{
    using object_type = std::remove_const_t<Object>;
    if constexpr (std::is_same_v<object_type, client_account>) {
        visitAccountFields(visitor, object);
    } else if constexpr (std::is_same_v<object_type, profile>) {
        visitProfileFields(visitor, object);
    } else if constexpr (std::is_same_v<object_type, service>) {
        visitServiceFields(visitor, object);
    } else if constexpr (std::is_same_v<object_type, backend_server>) {
        visitServerFields(visitor, object);
    } else {
        visitStopFields(visitor, object);
    }
}

} // namespace marjoramloom
