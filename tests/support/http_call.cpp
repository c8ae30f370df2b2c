#include "support/http_call.h"

#include "support/keep_alive_client.h"

#include <boost/json.hpp>
#include <sstream>

namespace marjoramloom::test {

auto httpCall(const std::string &address, const http_request &request) -> http_answer
{
    return keep_alive_client(address).call(request);
}

auto streamedText(const std::string &events) -> std::string
{
    auto text = std::string();
    auto lines = std::istringstream(events);
    for (auto line = std::string(); std::getline(lines, line);) {
        if (!line.starts_with("data: {")) {
            continue;
        }
        auto error = boost::system::error_code();
        const auto event = boost::json::parse(line.substr(6), error);
        const auto content = event.find_pointer("/choices/0/delta/content", error);
        if (content && content->is_string()) {
            text += content->as_string();
        }
    }
    return text;
}

auto streamEnded(const std::string &events) -> bool
{
    return events.find("data: [DONE]") != std::string::npos;
}

} // namespace marjoramloom::test
