#pragma once

#include <string_view>

namespace marjoramloom {

/// What the first bytes on a connection are.
enum class head_state {
    incomplete, ///< Sound so far.
    sound,
    malformed, ///< Two readers of these bytes could disagree on what the request is.
};

/// Checks the head of an HTTP/1.1 request more strictly than a parser needs to: a line may be folded nowhere and ends
/// with CR LF, names and colons are not separated, and exactly one field tells the length of the body. Thread safe.
auto checkRequestHead(std::string_view bytes) -> head_state;

} // namespace marjoramloom
