#include "marjoramloom/gateway/refusal.h"

#include "platform/header_format.h"

#include <array>
#include <boost/random/uniform_real_distribution.hpp>
#include <cstdio>

namespace marjoramloom {

namespace {

/// Callers that are refused together are spread over this span.
constexpr double soonestReturnSeconds = 0.15;
constexpr double latestReturnSeconds = 0.6;

auto promisesNotRun(unsigned status) -> bool
{
    return status == 429 || status == 503;
}

} // namespace

auto ownAnswer(gateway_state &state, const routed_request &request, unsigned status, std::string_view reason)
    -> http_reply
{
    auto answer = http_reply();
    answer.status = status;
    answer.contentType = "text/plain";
    answer.body = std::string(reason) + "\n";
    if (!request.id.empty()) {
        answer.headers.emplace_back(platform::requestIdField, request.id);
    }
    if (promisesNotRun(status)) {
        auto spread = boost::random::uniform_real_distribution<double>(soonestReturnSeconds, latestReturnSeconds);
        auto text = std::array<char, 16>{};
        std::snprintf(text.data(), text.size(), "%.2f", spread(state.random));
        answer.headers.emplace_back(platform::retryAfterField, text.data());
    }
    return answer;
}

} // namespace marjoramloom
