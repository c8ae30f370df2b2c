#pragma once

#include <string>
#include <string_view>

namespace marjoramloom {

/// Whether \p token is the operators' key with the SHA-256 \p keyHash, in hexadecimal. Compares in a time that does not
/// depend on the position of the first difference, which prevents timing attacks. Thread safe.
auto isOperatorKey(std::string_view token, const std::string &keyHash) -> bool;

} // namespace marjoramloom
