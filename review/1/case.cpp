// A client sends one prompt whose parts have ids of 128 bits, in hexadecimal. The requests of other clients must not be
// cut by it.

#include "../standins/prompt_play.h"

namespace {

constexpr auto headerLimit = 16'384;
constexpr auto longIds = "5c1e07a291bd3f06e4402b7d8a91c3f0:800,91bd3f06e4402b7d8a91c3f05c1e07a2:410,"
                         "e4402b7d8a91c3f05c1e07a291bd3f06:250";
constexpr auto shortIds =
    "5c1e07a2:800,91bd3f06:410,e4402b7d:250"; ///< Without the disruption, as in the pages' example.

} // namespace

int main(int argc, char **argv)
{
    return review::playPrompt(
        argc, argv,
        { .headerLimit = headerLimit, .prefix = review::isTroubleWanted() ? longIds : shortIds, .tokens = "1460,80" });
}
