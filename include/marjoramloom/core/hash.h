#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace marjoramloom {

/// 64-bit xxHash of \p text, the same on every machine. Not cryptographic. Thread safe.
auto hash64(std::string_view text, std::uint64_t seed = 0) -> std::uint64_t;

/// SHA-256 of \p text in lower-case hexadecimal. Thread safe.
auto sha256Hex(std::string_view text) -> std::string;

/// \p bytes random bytes from the operating system, in lower-case hexadecimal. Thread safe.
auto randomHex(std::size_t bytes) -> std::string;

} // namespace marjoramloom
