#include "marjoramloom/gateway/traffic/error_reply.h"

#include "platform/header_format.h"

#include <array>
#include <boost/random/uniform_real_distribution.hpp>
#include <cstdio>

namespace marjoramloom {

namespace {

/// Retry-After exceeds the time for which the request is unservable by a draw from this range, so that callers refused
/// together do not retry at the same moment.
constexpr double minRetryAfterSeconds = 0.15;
constexpr double maxRetryAfterSeconds = 0.6;

auto isNotExecutedStatus(unsigned status) -> bool
{
    return status == 429 || status == 503;
}

} // namespace

auto makeErrorReply(gateway_state &state, const routed_request &request, unsigned status, std::string_view reason,
                    duration unservableFor) -> http_reply
{
    auto answer = http_reply();
    answer.status = status;
    answer.contentType = "text/plain";
    answer.body = std::string(reason) + "\n";
    if (!request.id.empty()) {
        answer.headers.emplace_back(platform::requestIdField, request.id);
    }
    if (isNotExecutedStatus(status)) {
        auto spread = boost::random::uniform_real_distribution<double>(minRetryAfterSeconds, maxRetryAfterSeconds);
        auto text = std::array<char, 16>{};
        std::snprintf(text.data(), text.size(), "%.2f", toSeconds(unservableFor) + spread(state.random));
        answer.headers.emplace_back(platform::retryAfterField, text.data());
    }
    return answer;
}

auto formatReply(const http_reply &reply, std::string_view phrase, bool ofHead) -> std::string
{
    auto text = std::string("HTTP/1.1 ").append(std::to_string(reply.status)).append(" ").append(phrase);
    text.append("\r\nConnection: close\r\nContent-Type: ").append(reply.contentType).append("\r\n");
    for (const auto &[name, value] : reply.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text.append("Content-Length: ").append(std::to_string(reply.body.size())).append("\r\n\r\n");
    return ofHead ? text : text.append(reply.body);
}

} // namespace marjoramloom
