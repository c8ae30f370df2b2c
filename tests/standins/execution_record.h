#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace standins {

/// One line of the record: a request and the state of its execution.
struct execution_entry
{
    std::string requestId;
    std::string idempotencyKey;
    std::string account;
    std::string method;
    std::string path;
    std::string body;
    std::uint64_t tokens = 0; ///< Tokens generated.
    std::string state; ///< started, finished or cancelled.
};

/// Append-only record of the requests that a stand-in executed, by which tests check the executions. Not thread safe.
class execution_record
{
public:
    auto append(const execution_entry &entry) -> void;

    /// All lines, each a JSON object with a line feed.
    [[nodiscard]] auto lines() const -> const std::string &
    {
        return m_lines;
    }

private:
    std::uint64_t m_sequence = 0;
    std::string m_lines;
};

} // namespace standins
