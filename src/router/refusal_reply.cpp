#include "router/refusal_reply.h"

namespace marjoramloom {

auto notRunReply(const last_reason &why) -> http_reply
{
    auto answer = errorReply(why);
    answer.headers.emplace_back("X-Not-Run", std::string(nameOf(why.kind)));
    if (answer.status == 429 || answer.status == 503) {
        answer.headers.emplace_back("Retry-After", "1");
    }
    return answer;
}

} // namespace marjoramloom
