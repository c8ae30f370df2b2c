#include "platform/header_format.h"

#include "marjoramloom/store/object_store.h"
#include "platform/server_format.h"

#include <boost/json.hpp>
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
    const auto request = platform::decodeRequest(head, {}, why);
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

// Prompts whose blocks have ids of 128 bits were refused with 400.
BOOST_AUTO_TEST_CASE(block_ids_of_any_length_are_read)
{
    const auto idOf = [](const std::string &id) {
        auto head = platform::request_head();
        head.set("X-Prompt-Prefix", id + ":800");
        auto why = last_reason();
        const auto request = platform::decodeRequest(head, {}, why);
        BOOST_REQUIRE_MESSAGE(request.has_value(), id);
        return request->prompt.parts.at(0).id;
    };
    const auto longId = std::string("5c1e07a291bd3f06e4402b7d8a91c3f0");
    BOOST_TEST(idOf("5c1e07a2") == 0x5c1e07a2U);
    BOOST_TEST(idOf("00000000000000000000005c1E07a2") == 0x5c1e07a2U);
    BOOST_TEST(idOf(longId) == idOf("5C1E07A291BD3F06E4402B7D8A91C3F0"));
    BOOST_TEST(idOf(longId) == idOf("0000" + longId));
    BOOST_TEST(idOf(longId) != idOf("6" + longId.substr(1)));
    BOOST_TEST(idOf(longId) != idOf(longId.substr(0, longId.size() - 1) + "1"));
    BOOST_TEST(idOf("0000") == 0U);
}

// Requests whose callers gave their time with a fraction, or waited longer than 49 days, were refused with 400.
BOOST_AUTO_TEST_CASE(the_callers_time_may_have_a_fraction_and_be_long)
{
    const auto timeOf = [](const std::string &value) {
        auto head = platform::request_head();
        head.set("X-Deadline-Ms", value);
        auto why = last_reason();
        const auto request = platform::decodeRequest(head, {}, why);
        BOOST_REQUIRE_MESSAGE(request.has_value(), value);
        return request->callerTimeout.value().count();
    };
    BOOST_TEST(timeOf("1500.9") == 1'500);
    BOOST_TEST(timeOf("0") == 0);
    BOOST_TEST(timeOf("5000000000") == 24 * 3'600'000);
    BOOST_TEST(timeOf("1e300") == 24 * 3'600'000);
}

BOOST_AUTO_TEST_CASE(malformed_fields_are_refused)
{
    for (const auto &[name, value] :
         { std::pair("X-Deadline-Ms", "soon"), std::pair("Last-Event-Id", "x"), std::pair("X-Token-Usage", "1,2,3"),
           std::pair("X-Prompt-Prefix", "zz:1"), std::pair("X-Prompt-Prefix", "12") }) {
        auto head = platform::request_head();
        head.set(name, value);
        auto why = last_reason();
        BOOST_TEST(!platform::decodeRequest(head, {}, why).has_value(), name);
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
    const auto whole = boost::json::parse(
        R"({"service":"s","address":"10.0.0.1:80","zone":"north","version":"v1","state":"draining","slots":6,)"
        R"("cold_left_ms":250,"sequence":4,"born":17})");
    const auto server = decode(boost::json::serialize(whole));
    BOOST_REQUIRE(server.has_value());
    BOOST_TEST(server->draining);
    BOOST_TEST(server->dataCentre == "north");
    BOOST_TEST(server->startUnixMs == 17);
    BOOST_TEST(server->remainingWarmUp == std::chrono::milliseconds(250));
    // An entry of another writer, which lacks a field or has one of another type, names no server (review/2).
    for (const auto &field : whole.as_object()) {
        auto entry = whole.as_object();
        entry.erase(field.key());
        BOOST_TEST(!decode(boost::json::serialize(entry)).has_value(), "without " << field.key());
        for (const auto *value : { "null", "true", "[]", "{}", "-1", "1e300", "0.5" }) {
            entry[field.key()] = boost::json::parse(value);
            const auto mayBeFraction = field.key() == "cold_left_ms" && std::string_view(value) == "0.5";
            BOOST_TEST(decode(boost::json::serialize(entry)).has_value() == mayBeFraction, field.key() << " " << value);
        }
    }
    for (const auto *value : { "junk", R"({"service":"s","address":"a","zone":"n","state":"ready"})",
                               R"({"service":5,"address":"a","zone":"n","state":"ready","slots":6})",
                               R"({"service":"s","address":"a","zone":"n","state":"sleepy","slots":6})",
                               R"({"service":"s","address":"a","zone":"n","state":"ready","slots":"6"})" }) {
        BOOST_TEST(!decode(value).has_value(), value);
    }
}

BOOST_AUTO_TEST_CASE(a_servers_statements_about_itself_are_decoded)
{
    const auto decode = [](http::status status, const char *name, const char *value) {
        auto head = platform::answer_head();
        head.result(status);
        head.set(name, value);
        return platform::decodeServerNotice(head);
    };
    const auto unavailable = http::status::service_unavailable;
    for (const auto status : { http::status::ok, http::status::internal_server_error, unavailable }) {
        const auto notice = decode(status, "server-leaving", " 1 ");
        BOOST_TEST(notice.leaving);
        BOOST_TEST(notice.malformedField.empty());
    }
    for (const auto *value : { "0", "2", "true", "-1", "1,1", "" }) {
        const auto notice = decode(http::status::ok, "Server-Leaving", value);
        BOOST_TEST(!notice.leaving, value);
        BOOST_TEST(notice.malformedField == "Server-Leaving", value);
    }
    BOOST_TEST((decode(unavailable, "Retry-After", "3").pause == duration(std::chrono::seconds(3))));
    BOOST_TEST((decode(unavailable, "Retry-After", "0.25").pause == duration(std::chrono::milliseconds(250))));
    BOOST_TEST((decode(unavailable, "Retry-After", "0").pause == duration::zero()));
    BOOST_TEST((*decode(unavailable, "Retry-After", "1e300").pause > std::chrono::hours(1)));
    for (const auto *value :
         { "-3", "nan", "inf", "1e999", "soon", "3s", "", "0x10", "Wed, 21 Oct 2026 07:28:00 GMT" }) {
        const auto notice = decode(unavailable, "Retry-After", value);
        BOOST_TEST(!notice.pause.has_value(), value);
        BOOST_TEST(notice.malformedField == "Retry-After", value);
    }
    // Only a server that turns requests away asks for a pause.
    BOOST_TEST(!decode(http::status::ok, "Retry-After", "3").pause.has_value());
}

BOOST_AUTO_TEST_CASE(the_longest_of_several_pauses_counts)
{
    auto head = platform::answer_head();
    head.result(http::status::service_unavailable);
    head.insert("Retry-After", "1");
    head.insert("Retry-After", "soon");
    head.insert("Retry-After", "2");
    const auto notice = platform::decodeServerNotice(head);
    BOOST_TEST((notice.pause == duration(std::chrono::seconds(2))));
    BOOST_TEST(notice.malformedField == "Retry-After");
}

BOOST_AUTO_TEST_SUITE_END()
