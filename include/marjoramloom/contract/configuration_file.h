#pragma once

#include "marjoramloom/contract/configuration_change.h"
#include "marjoramloom/contract/configuration_problem.h"

#include <string>
#include <vector>

namespace marjoramloom {

/// A configuration object and its location in a file.
struct located_object
{
    configuration_object object;
    std::string file;
    std::uint32_t line = 0;
    std::map<std::string, std::uint32_t> keyLines; ///< Line of each key.
};

/// Parses objects from TOML text: one `[[kind]]` table each. Adds a problem with file, line and key for each error and
/// omits objects with errors. Thread safe.
auto parseObjects(const std::string &text, const std::string &file, configuration_problems &problems)
    -> std::vector<located_object>;

/// Reads the file at \p path and parses it like parseObjects(). Thread safe.
auto loadObjects(const std::string &path, configuration_problems &problems) -> std::vector<located_object>;

/// Sets the file and line of each problem that has no file yet to those of the object in question. Thread safe.
auto locateProblems(const std::vector<located_object> &objects, configuration_problems &problems) -> void;

/// Converts \p object to TOML that parseObjects() reads. Thread safe.
auto toToml(const configuration_object &object) -> std::string;

/// Parses an RFC 3339 time with an offset, such as 2026-12-04T05:00:00Z, to milliseconds since 1970. Thread safe.
auto parseTime(const std::string &text) -> std::optional<std::int64_t>;

/// Formats milliseconds since 1970 as an RFC 3339 time in UTC. Thread safe.
auto formatTime(std::int64_t unixMs) -> std::string;

} // namespace marjoramloom
