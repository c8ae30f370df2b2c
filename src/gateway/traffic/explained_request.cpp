// Reads operators' questions about a request.
#include "marjoramloom/gateway/traffic/request_explainer.h"
#include "platform/header_format.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/json.hpp>
#include <charconv>

namespace marjoramloom {

namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::size_t maxParts = 4'096;

/// Ends every line of \p head with CR and LF, and adds the empty line at its end: logged heads often lack them.
auto normalizedHead(std::string_view head) -> std::string
{
    auto text = std::string();
    for (auto start = std::size_t(0); start < head.size();) {
        const auto end = std::min(head.find('\n', start), head.size());
        auto line = head.substr(start, end - start);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.empty()) {
            break;
        }
        text.append(line).append("\r\n");
        start = end + 1;
    }
    return text + "\r\n";
}

auto parseHead(std::string_view head, last_reason &why) -> std::optional<routed_request>
{
    auto parser = http::request_parser<http::empty_body>();
    parser.skip(true);
    const auto text = normalizedHead(head);
    auto error = boost::system::error_code();
    parser.put(boost::asio::buffer(text), error);
    if (error || !parser.is_header_done()) {
        return why.fail(failure_kind::invalidInput, "read head", "operator",
                        error ? error.message() : std::string("the head is incomplete"));
    }
    auto request = platform::decodeRequest(parser.get().base(), {}, why);
    if (!request) {
        why.kind = failure_kind::invalidInput;
    }
    return request;
}

/// Reads a field of \p body; nothing, with the name of the field in \p why, if it has another type.
auto readText(const json::object &body, std::string_view key, std::string &text, last_reason &why) -> bool
{
    const auto *value = body.if_contains(key);
    if (value == nullptr) {
        return true;
    }
    if (!value->is_string()) {
        why.fail(failure_kind::invalidInput, "read question", "operator", std::string(key) + ": a text is expected");
        return false;
    }
    text = value->get_string();
    return true;
}

auto readCount(const json::object &body, std::string_view key, std::uint32_t &count, last_reason &why) -> bool
{
    const auto *value = body.if_contains(key);
    if (value == nullptr) {
        return true;
    }
    auto error = boost::system::error_code();
    count = value->to_number<std::uint32_t>(error);
    if (error) {
        why.fail(failure_kind::invalidInput, "read question", "operator",
                 std::string(key) + ": a whole number is expected");
    }
    return !error;
}

/// Reads the parts of the prompt, ID:TOKENS with the id in hexadecimal.
auto readParts(const json::object &body, prompt_summary &prompt, last_reason &why) -> bool
{
    auto text = std::string();
    if (!readText(body, "prompt", text, why)) {
        return false;
    }
    auto head = "GET / HTTP/1.1\nHost: explain\nX-Attempt-Id: explain\nX-Prompt-Prefix: " + text;
    if (text.empty()) {
        return true;
    }
    auto request = parseHead(head, why);
    if (!request || request->prompt.parts.size() > maxParts) {
        why.fail(failure_kind::invalidInput, "read question", "operator", "prompt: a list of ID:TOKENS is expected");
        return false;
    }
    prompt.parts = std::move(request->prompt.parts);
    for (const auto &part : prompt.parts) {
        prompt.promptTokens += part.tokens;
    }
    return true;
}

} // namespace

auto parseExplainedRequest(std::string_view body, last_reason &why) -> std::optional<explained_request>
{
    auto error = boost::system::error_code();
    const auto parsed = json::parse({ body.data(), body.size() }, error);
    const auto *fields = error ? nullptr : parsed.if_object();
    if (fields == nullptr) {
        return why.fail(failure_kind::invalidInput, "read question", "operator", "the body is not a JSON object");
    }
    auto asked = explained_request();
    auto head = std::string();
    if (!readText(*fields, "head", head, why)) {
        return std::nullopt;
    }
    if (!head.empty()) {
        auto request = parseHead(head, why);
        if (!request) {
            return std::nullopt;
        }
        asked.request = std::move(*request);
    }
    auto deadline = std::uint32_t(0);
    if (!readText(*fields, "route", asked.route, why) || !readText(*fields, "service", asked.service, why)
        || !readText(*fields, "account", asked.account, why) || !readText(*fields, "host", asked.request.host, why)
        || !readText(*fields, "path", asked.request.path, why) || !readParts(*fields, asked.request.prompt, why)
        || !readCount(*fields, "prompt_tokens", asked.request.prompt.promptTokens, why)
        || !readCount(*fields, "output_tokens", asked.request.prompt.outputTokens, why)
        || !readCount(*fields, "deadline_ms", deadline, why)) {
        return std::nullopt;
    }
    if (deadline > 0) {
        asked.request.callerTimeout = std::chrono::milliseconds(deadline);
    }
    if (asked.route.empty() && asked.service.empty() && asked.request.host.empty()) {
        return why.fail(failure_kind::invalidInput, "read question", "operator",
                        "a route, a service, or a host and path is expected");
    }
    asked.request.arrived = boot_clock::now();
    return asked;
}

} // namespace marjoramloom
