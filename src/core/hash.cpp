#include "marjoramloom/core/hash.h"

#include <boost/algorithm/hex.hpp>
#include <cassert>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <xxhash.h>

namespace marjoramloom {

auto hash64(std::string_view text, std::uint64_t seed) -> std::uint64_t
{
    return XXH64(text.data(), text.size(), seed);
}

auto sha256Hex(std::string_view text) -> std::string
{
    auto digest = std::array<unsigned char, EVP_MAX_MD_SIZE>{};
    auto length = 0U;
    [[maybe_unused]] const auto done =
        EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
    assert(done == 1);
    auto hex = std::string();
    boost::algorithm::hex_lower(digest.begin(), digest.begin() + length, std::back_inserter(hex));
    return hex;
}

auto randomHex(std::size_t bytes) -> std::string
{
    auto raw = std::vector<unsigned char>(bytes);
    [[maybe_unused]] const auto done = RAND_bytes(raw.data(), static_cast<int>(bytes));
    assert(done == 1);
    auto hex = std::string();
    boost::algorithm::hex_lower(raw.begin(), raw.end(), std::back_inserter(hex));
    return hex;
}

} // namespace marjoramloom
