#pragma once

#include <chrono>
#include <map>
#include <string>

namespace marjoramloom::test {

/// A request of a test.
struct http_request
{
    std::string method = "GET";
    std::string target = "/";
    std::map<std::string, std::string> headers;
    std::string body;
    std::chrono::milliseconds timeout{ 20'000 };
};

/// What came back.
struct http_answer
{
    bool whole = false; ///< The response came to its proper end.
    unsigned status = 0; ///< 0 where not even the head came.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body; ///< As far as it came.
    std::string error; ///< Why it is not whole.
};

/// One request on a connection of its own. Blocks. Thread safe.
auto httpCall(const std::string &address, const http_request &request) -> http_answer;

/// A streamed answer's text put together from its events; empty where an event cannot be read.
auto streamedText(const std::string &events) -> std::string;

/// True where the events end with the marker of a whole answer.
auto streamEnded(const std::string &events) -> bool;

} // namespace marjoramloom::test
