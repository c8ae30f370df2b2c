#include "marjoramloom/gateway/traffic/tunnelled_request.h"

#include "marjoramloom/gateway/traffic/error_reply.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;

namespace {

auto summaryOf(const std::string &bytes, std::size_t partSize) -> tunnelled_request_summary
{
    auto request = tunnelled_request();
    for (auto offset = std::size_t(0); offset < bytes.size(); offset += partSize) {
        request.add(std::string_view(bytes).substr(offset, partSize));
    }
    return request.summarize();
}

const auto head = std::string("POST /post/order?a=1 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: r1\r\n");

} // namespace

BOOST_AUTO_TEST_SUITE(tunnelled_request_test)

BOOST_AUTO_TEST_CASE(host_path_and_id_are_found_however_the_bytes_arrive)
{
    const auto bytes = head + "Content-Length: 5\r\n\r\n12345";
    for (const auto partSize : { std::size_t(1), std::size_t(7), bytes.size() }) {
        const auto summary = summaryOf(bytes, partSize);
        BOOST_TEST(summary.host == "desk.example");
        BOOST_TEST(summary.path == "/post/order");
        BOOST_TEST(summary.id == "r1");
        BOOST_TEST(!summary.isHead);
        BOOST_TEST(summary.isComplete);
    }
}

BOOST_AUTO_TEST_CASE(a_request_is_complete_with_its_last_byte)
{
    BOOST_TEST(!tunnelled_request().hasBegun());
    const auto bytes = head + "Content-Length: 5000\r\n\r\n" + std::string(5'000, 'x');
    for (const auto size : { std::size_t(10), head.size(), bytes.size() - 1 }) {
        BOOST_TEST(!summaryOf(bytes.substr(0, size), size).isComplete);
    }
    BOOST_TEST(summaryOf(bytes, 1'000).isComplete);
    BOOST_TEST(summaryOf(head + "\r\n", 1'000).isComplete);
    const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n2\r\n0\r\r\n0\r\n\r\n";
    for (auto size = head.size(); size < chunked.size(); ++size) {
        BOOST_TEST(!summaryOf(chunked.substr(0, size), 3).isComplete);
    }
    BOOST_TEST(summaryOf(chunked, 3).isComplete);
}

// Memory: a head or body of any size is kept up to KEPT_BYTES only.
BOOST_AUTO_TEST_CASE(a_head_that_is_not_kept_to_its_end_still_shows_its_route)
{
    const auto padding = "X-Padding: " + std::string(2 * tunnelled_request::KEPT_BYTES, 'p') + "\r\n";
    const auto summary = summaryOf(head + padding + "\r\n", 100);
    BOOST_TEST(summary.host == "desk.example");
    BOOST_TEST(summary.path == "/post/order");
    BOOST_TEST(summary.isComplete);
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_request_have_no_route)
{
    for (const auto *bytes : { "x", "\r\n\r\n", "nonsense\r\n\r\n", "GET /\r\nHost: desk.example\r\n\r\n" }) {
        const auto summary = summaryOf(bytes, 100);
        BOOST_TEST(summary.host.empty());
        BOOST_TEST(summary.id.empty());
    }
}

// The bytes of a body after the answer to HEAD would be taken for the next answer.
BOOST_AUTO_TEST_CASE(the_answer_to_a_head_request_has_no_body)
{
    BOOST_TEST(summaryOf("HEAD /read/x HTTP/1.1\r\nHost: desk.example\r\n\r\n", 100).isHead);
    const auto reply = http_reply{ .status = 504, .contentType = "text/plain", .body = "late\n", .headers = {} };
    const auto ofHead = formatReply(reply, "Gateway Timeout", true);
    BOOST_TEST(ofHead
               == "HTTP/1.1 504 Gateway Timeout\r\nConnection: close\r\nContent-Type: text/plain\r\n"
                  "Content-Length: 5\r\n\r\n");
    BOOST_TEST(formatReply(reply, "Gateway Timeout", false) == ofHead + "late\n");
}

BOOST_AUTO_TEST_SUITE_END()
