#include "platform/header_format.h"

#include "marjoramloom/store/object_store.h"
#include "platform/server_format.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;

namespace http = boost::beast::http;

BOOST_AUTO_TEST_SUITE(header_format_test)

BOOST_AUTO_TEST_CASE(a_request_head_is_decoded)
{
    auto head = platform::request_head();
    head.method(http::verb::post);
    head.target("/a/b?c=d");
    head.set("Host", "desk.example");
    head.set("X-Attempt-Id", "r-1");
    head.set("X-Deadline-Ms", "1500");
    head.set("Last-Event-Id", "12");
    head.set("Authorization", "Bearer key");
    head.set("X-Token-Usage", "1460,80");
    head.set("X-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
    auto why = last_reason();
    const auto request = platform::decodeRequest(head, why);
    BOOST_REQUIRE(request.has_value());
    BOOST_TEST(request->id == "r-1");
    BOOST_TEST(request->path == "/a/b");
    BOOST_TEST(request->callerTimeout->count() == 1'500);
    BOOST_TEST(*request->lastEventId == 12);
    BOOST_TEST(*request->key == "key");
    BOOST_TEST(request->prompt.promptTokens == 1'460U);
    BOOST_TEST(request->prompt.outputTokens == 80U);
    BOOST_REQUIRE(request->prompt.parts.size() == 3U);
    BOOST_TEST(request->prompt.parts[1].id == 0x91bd3f06U);
    BOOST_TEST(request->prompt.parts[1].tokens == 410U);
}

BOOST_AUTO_TEST_CASE(malformed_fields_are_refused)
{
    for (const auto &[name, value] :
         { std::pair("X-Deadline-Ms", "soon"), std::pair("Last-Event-Id", "x"), std::pair("X-Token-Usage", "1,2,3"),
           std::pair("X-Prompt-Prefix", "zz:1"), std::pair("X-Prompt-Prefix", "12") }) {
        auto head = platform::request_head();
        head.set(name, value);
        auto why = last_reason();
        BOOST_TEST(!platform::decodeRequest(head, why).has_value(), name);
        BOOST_TEST((why.kind == failure_kind::invalidInput));
    }
}

BOOST_AUTO_TEST_CASE(router_fields_and_hop_by_hop_fields_of_a_caller_are_not_forwarded)
{
    auto head = platform::request_head();
    for (const auto *name : { "Authorization", "X-Tenant-Id", "X-Expect-Instance", "X-Cache-Hold", "X-Pin-Ms",
                              "X-Kv-Backup", "Kv-From", "Keep-Alive", "Transfer-Encoding", "X-Hop", "X-Deadline-Ms" }) {
        head.set(name, "caller");
    }
    head.set("Connection", "keep-alive, X-Hop");
    head.set("X-Model-Id", "m");
    head.set("Last-Event-Id", "3");
    auto added = platform::forwarding_headers();
    added.serverId = "i-1";
    added.account = "alpha";
    added.remainingTime = std::chrono::milliseconds(900);
    auto forwarded = platform::header_fields();
    platform::copyRequestFields(head, added, forwarded);
    BOOST_TEST(forwarded["X-Expect-Instance"] == "i-1");
    BOOST_TEST(forwarded["X-Tenant-Id"] == "alpha");
    BOOST_TEST(forwarded["X-Deadline-Ms"] == "900");
    BOOST_TEST(forwarded["X-Model-Id"] == "m");
    BOOST_TEST(forwarded["Last-Event-Id"] == "3");
    for (const auto *name : { "Authorization", "X-Cache-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Keep-Alive",
                              "Transfer-Encoding", "X-Hop", "Connection" }) {
        BOOST_TEST((forwarded.find(name) == forwarded.end()), name);
    }
    added.account.clear();
    added.resumeAfter = 8;
    auto resumed = platform::header_fields();
    platform::copyRequestFields(head, added, resumed);
    BOOST_TEST(resumed["Last-Event-Id"] == "8");
    BOOST_TEST((resumed.find("X-Tenant-Id") == resumed.end()));
}

BOOST_AUTO_TEST_CASE(server_entries_with_an_invalid_field_are_rejected)
{
    auto why = last_reason();
    const auto decode = [&](std::string value) {
        return platform::decodeServer({ .kind = "servers", .name = "i-1", .revision = 1, .value = std::move(value) },
                                      why);
    };
    const auto server =
        decode(R"({"service":"s","address":"10.0.0.1:80","zone":"north","state":"draining","slots":6,"born":17})");
    BOOST_REQUIRE(server.has_value());
    BOOST_TEST(server->draining);
    BOOST_TEST(server->dataCentre == "north");
    BOOST_TEST(server->startUnixMs == 17);
    for (const auto *value : { "junk", R"({"service":"s","address":"a","zone":"n","state":"ready"})",
                               R"({"service":5,"address":"a","zone":"n","state":"ready","slots":6})",
                               R"({"service":"s","address":"a","zone":"n","state":"sleepy","slots":6})",
                               R"({"service":"s","address":"a","zone":"n","state":"ready","slots":"6"})" }) {
        BOOST_TEST(!decode(value).has_value(), value);
    }
}

BOOST_AUTO_TEST_SUITE_END()
