#include "marjoramloom/gateway/decisions/misdirection.h"

#include <cassert>

namespace marjoramloom {

auto attributeMisdirection(std::string_view expectedServer, std::string_view answeringServer) -> misdirection
{
    assert(!expectedServer.empty());
    if (answeringServer.empty()) {
        return misdirection::unknown;
    }
    return answeringServer == expectedServer ? misdirection::request : misdirection::otherServer;
}

} // namespace marjoramloom
