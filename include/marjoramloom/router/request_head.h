#pragma once

#include "marjoramloom/core/header_field.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <string_view>

namespace marjoramloom {

/// Result of checkRequestHead().
enum class head_state {
    incomplete, ///< Valid so far; the end of the head is missing.
    valid,
    malformed, ///< Two parsers could interpret the head differently, as in request smuggling.
};

/// Validates the head of an HTTP/1.1 request, which may be followed by body bytes. The rules are stricter than those of
/// a parser: lines end with CR LF and are not folded, no space precedes a colon, and at most one field gives the length
/// of the body. Thread safe.
auto checkRequestHead(std::string_view bytes) -> head_state;

/// Removes the fields that are too long for Boost.Beast's container of fields from the head at the start of \p buffer,
/// and returns them. Precondition: the head is complete and valid. Thread safe for different buffers.
auto takeLongFields(boost::beast::flat_buffer &buffer) -> long_fields;

} // namespace marjoramloom
