#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace marjoramloom {

/// What a router needs to know of a request that it tunnels, if it has to answer it in place of the serving router.
struct tunnelled_request_summary
{
    std::string id; ///< Empty if it is not known.
    std::string host; ///< Empty if the head cannot be read.
    std::string path; ///< Without the query.
    bool isHead = false; ///< The answer to the method HEAD has no body.
    bool isComplete = true; ///< Whether the last byte was received. True if that cannot be seen.
};

/// The bytes of a request in a tunnel: keeps the first ones, from which it can be told what the request is. Nothing is
/// parsed until summarize(). Not thread safe.
class tunnelled_request
{
public:
    /// Bytes that are kept of a request, enough for the host and the request's id in all but the longest heads.
    static constexpr std::size_t KEPT_BYTES = std::size_t(4) << 10U;

    /// Records the next \p bytes of the request.
    auto add(std::string_view bytes) -> void;

    /// Whether any bytes were recorded.
    [[nodiscard]] auto hasBegun() const -> bool;

    [[nodiscard]] auto summarize() const -> tunnelled_request_summary;

private:
    /// The last chunk of a body without trailers.
    static constexpr std::string_view LAST_CHUNK = "0\r\n\r\n";

    std::string m_begin;
    std::string m_end; ///< The newest bytes.
    std::uint64_t m_size = 0;
};

} // namespace marjoramloom
