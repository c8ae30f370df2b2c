#pragma once

#include <chrono>
#include <map>
#include <string>

namespace marjoramloom::test {

/// HTTP request that a test sends.
struct http_request
{
    std::string method = "GET";
    std::string target = "/";
    std::map<std::string, std::string> headers;
    std::string body;
    std::chrono::milliseconds timeout{ 20'000 };
};

/// HTTP response, as far as it was received.
struct http_answer
{
    bool complete = false; ///< The response was received to its end.
    unsigned status = 0; ///< 0 if no response header was received.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body; ///< The part that was received.
    std::string error; ///< Reason if the response is not complete.
};

/// Sends a request on a new connection to \p address and waits for the response. Thread safe.
auto httpCall(const std::string &address, const http_request &request) -> http_answer;

/// Concatenated text of the events of a model's streamed answer. Events that are not valid JSON are skipped.
auto streamedText(const std::string &events) -> std::string;

/// Whether the events contain the end marker of a complete answer.
auto streamEnded(const std::string &events) -> bool;

} // namespace marjoramloom::test
