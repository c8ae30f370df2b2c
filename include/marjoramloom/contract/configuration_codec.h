#pragma once

#include "marjoramloom/contract/configuration_change.h"
#include "marjoramloom/contract/configuration_problem.h"

#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace marjoramloom {

/// Whether keys that this version does not know are errors. Operators' input is strict; what was accepted by a newer
/// version is not.
enum class unknown_keys {
    refused,
    ignored,
};

/// JSON of \p object, with its name. Thread safe.
auto toJson(const configuration_object &object) -> boost::json::object;

/// Object of \p kind from JSON; nothing, with problems added, where a value is missing, unknown or out of range. Thread
/// safe.
auto objectFromJson(object_kind kind, const boost::json::object &json, unknown_keys unknown,
                    configuration_problems &problems) -> std::optional<configuration_object>;

/// JSON of \p operation. Thread safe.
auto toJson(const configuration_operation &operation) -> boost::json::object;

/// Operation from JSON; nothing, with problems added, where it is malformed. Thread safe.
auto operationFromJson(const boost::json::object &json, unknown_keys unknown, configuration_problems &problems)
    -> std::optional<configuration_operation>;

/// Text of \p change as stored on the platform. Thread safe.
auto changeToText(const configuration_change &change) -> std::string;

/// Change from the text stored on the platform; nothing, with problems added, where it is malformed. Thread safe.
auto changeFromText(std::string_view text, configuration_problems &problems) -> std::optional<configuration_change>;

/// JSON of all objects with their identities, and the sequence. Thread safe.
auto toJson(const configuration &all) -> boost::json::object;

/// Configuration from the JSON of toJson(configuration); nothing, with problems added, where it is malformed. Thread
/// safe.
auto configurationFromJson(const boost::json::object &json, configuration_problems &problems)
    -> std::optional<configuration>;

/// Name of the platform object that holds change \p sequence. Thread safe.
auto changeName(std::uint64_t sequence) -> std::string;

/// Sequence in a name made by changeName; nothing for other names. Thread safe.
auto changeSequence(std::string_view name) -> std::optional<std::uint64_t>;

} // namespace marjoramloom
