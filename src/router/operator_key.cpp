#include "marjoramloom/router/operator_key.h"

#include "marjoramloom/core/hash.h"

#include <openssl/crypto.h>

namespace marjoramloom {

auto isOperatorKey(std::string_view token, const std::string &keyHash) -> bool
{
    const auto hash = sha256Hex(token);
    return hash.size() == keyHash.size() && CRYPTO_memcmp(hash.data(), keyHash.data(), hash.size()) == 0;
}

} // namespace marjoramloom
