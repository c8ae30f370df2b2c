#pragma once

#include "marjoramloom/contract/configuration_change.h"
#include "marjoramloom/contract/configuration_problem.h"

#include <string>
#include <vector>

namespace marjoramloom {

/// A configuration object with the place where it was written.
struct placed_object
{
    configuration_object object;
    std::string file;
    std::uint32_t line = 0;
    std::map<std::string, std::uint32_t> keyLines;
};

/// Objects from TOML text: one `[[kind]]` table each. Adds a problem with file, line and key for each error, and leaves
/// the objects in error out. Thread safe.
auto parseObjects(const std::string &text, const std::string &file, configuration_problems &problems)
    -> std::vector<placed_object>;

/// As parseObjects, of the file at \p path. Thread safe.
auto loadObjects(const std::string &path, configuration_problems &problems) -> std::vector<placed_object>;

/// Gives each problem that has no file the file and line of the object it names. Thread safe.
auto placeProblems(const std::vector<placed_object> &objects, configuration_problems &problems) -> void;

/// TOML text of \p object, as parseObjects reads it. Thread safe.
auto toToml(const configuration_object &object) -> std::string;

/// Milliseconds since 1970 of an RFC 3339 time with offset, such as 2026-12-04T05:00:00Z. Thread safe.
auto parseTime(const std::string &text) -> std::optional<std::int64_t>;

/// RFC 3339 text, in UTC, of \p unixMs. Thread safe.
auto formatTime(std::int64_t unixMs) -> std::string;

} // namespace marjoramloom
