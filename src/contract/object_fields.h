#pragma once

#include "marjoramloom/contract/configuration.h"

#include <limits>

namespace marjoramloom {

/// Range of values that a number may take, both ends included.
template<typename Number>
struct value_range
{
    Number least;
    Number most;
};

constexpr auto milliseconds24h = std::int64_t(86'400'000);
constexpr auto anyTime = value_range<std::int64_t>{ 0, std::numeric_limits<std::int64_t>::max() };

/// One visitFields per kind of object lists its keys; reading and writing go through it. A visitor has text(key,
/// value), texts(key, values), number(key, value, range), flag(key, value) and choice(key, value).
template<typename Visitor, typename Object>
auto visitAccountFields(Visitor &visitor, Object &object) -> void
{
    visitor.texts("key_hashes", object.keyHashes);
    visitor.number("weight", object.weight, value_range<double>{ 0.001, 1000 });
    visitor.number("queue_limit", object.queueLimit, value_range<std::int64_t>{ 1, 1'000'000 });
}

template<typename Visitor, typename Object>
auto visitProfileFields(Visitor &visitor, Object &object) -> void
{
    visitor.choice("length", object.length);
    visitor.number("max_wait_ms", object.maxWait, value_range<std::int64_t>{ 1, milliseconds24h });
    visitor.number("timeout_ms", object.timeout, value_range<std::int64_t>{ 1, milliseconds24h });
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
    visitor.number("at_unix_ms", object.atUnixMs, anyTime);
    visitor.number("until_unix_ms", object.untilUnixMs, anyTime);
}

/// Visits the keys of \p object other than its name.
template<typename Visitor, typename Object>
auto visitFields(Visitor &visitor, Object &object) -> void
{
    using plain = std::remove_const_t<Object>;
    if constexpr (std::is_same_v<plain, client_account>) {
        visitAccountFields(visitor, object);
    } else if constexpr (std::is_same_v<plain, profile>) {
        visitProfileFields(visitor, object);
    } else if constexpr (std::is_same_v<plain, service>) {
        visitServiceFields(visitor, object);
    } else if constexpr (std::is_same_v<plain, backend_server>) {
        visitServerFields(visitor, object);
    } else {
        visitStopFields(visitor, object);
    }
}

} // namespace marjoramloom
