#pragma once

#include "marjoramloom/contract/configuration_change.h"
#include "marjoramloom/contract/configuration_problem.h"

#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace marjoramloom {

/// Whether keys that this version does not know are errors. They are errors in operators' input, but not in changes
/// that a newer version accepted.
enum class unknown_keys {
    refused,
    ignored,
};

/// Converts \p object to JSON, including its name. Thread safe.
auto toJson(const configuration_object &object) -> boost::json::object;

/// Reads an object of \p kind from JSON. If a value has the wrong type, is unknown or out of range, adds to \p problems
/// and returns nothing. Thread safe.
auto objectFromJson(object_kind kind, const boost::json::object &json, unknown_keys unknown,
                    configuration_problems &problems) -> std::optional<configuration_object>;

/// Converts \p operation to JSON. Thread safe.
auto toJson(const configuration_operation &operation) -> boost::json::object;

/// Reads an operation from JSON. If it is malformed, adds to \p problems and returns nothing. Thread safe.
auto operationFromJson(const boost::json::object &json, unknown_keys unknown, configuration_problems &problems)
    -> std::optional<configuration_operation>;

/// Serializes \p change as it is stored on the platform. Thread safe.
auto changeToText(const configuration_change &change) -> std::string;

/// Parses a change stored on the platform. If it is malformed, adds to \p problems and returns nothing. Thread safe.
auto changeFromText(std::string_view text, configuration_problems &problems) -> std::optional<configuration_change>;

/// Converts the configuration to JSON: the sequence and all objects with their ids. Thread safe.
auto toJson(const configuration &all) -> boost::json::object;

/// Reads the JSON that toJson(configuration) writes. If it is malformed, adds to \p problems and returns nothing.
/// Thread safe.
auto configurationFromJson(const boost::json::object &json, configuration_problems &problems)
    -> std::optional<configuration>;

/// Returns the name of the platform object that stores change \p sequence. Thread safe.
auto changeName(std::uint64_t sequence) -> std::string;

/// Parses a name made by changeName() and returns its sequence; nothing for other names. Thread safe.
auto changeSequence(std::string_view name) -> std::optional<std::uint64_t>;

} // namespace marjoramloom
