#include "marjoramloom/router/request_head.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace marjoramloom;

BOOST_AUTO_TEST_SUITE(request_head_test)

BOOST_AUTO_TEST_CASE(a_valid_head_is_accepted_only_when_it_is_complete)
{
    const auto head = std::string("POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nX-Empty:\r\n\r\n");
    for (auto size = std::size_t(0); size < head.size(); ++size) {
        BOOST_TEST((checkRequestHead(std::string_view(head).substr(0, size)) == head_state::incomplete), size);
    }
    BOOST_TEST((checkRequestHead(head + "abc") == head_state::valid));
    BOOST_TEST(
        (checkRequestHead("GET / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n") == head_state::valid));
}

BOOST_AUTO_TEST_CASE(heads_that_parsers_could_interpret_differently_are_malformed)
{
    const auto start = std::string("POST / HTTP/1.1\r\nHost: x\r\n");
    for (const auto *rest :
         { "Content-Length: 3\r\nContent-Length: 3\r\n\r\n", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
           "Content-Length: +3\r\n\r\n", "Content-Length : 3\r\n\r\n", "Transfer-Encoding: gzip, chunked\r\n\r\n",
           "Transfer-Encoding: xchunked\r\n\r\n", "X-Folded: a\r\n b\r\n\r\n", "X-Bare: a\rb\r\n\r\n",
           "X-Feed: a\nY: b\r\n\r\n", "Host: y\r\n\r\n", "no colon\r\n\r\n", ": no name\r\n\r\n" }) {
        BOOST_TEST((checkRequestHead(start + rest) == head_state::malformed), rest);
    }
    BOOST_TEST((checkRequestHead(start + "X-Null: a" + std::string(1, '\0') + "b\r\n\r\n") == head_state::malformed));
    for (const auto *line :
         { "GET  / HTTP/1.1", "GET /a b HTTP/1.1", "GET http://x/ HTTP/1.1", "GET /", "\r\nGET / HTTP/1.1" }) {
        BOOST_TEST((checkRequestHead(std::string(line) + "\r\nHost: x\r\n\r\n") == head_state::malformed), line);
    }
}

BOOST_AUTO_TEST_SUITE_END()
