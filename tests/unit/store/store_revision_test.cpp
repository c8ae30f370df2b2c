#include "marjoramloom/store/store_revision.h"

#include "platform/object_format.h"
#include "store_fixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace marjoramloom;

namespace {

struct restored_store_fixture : test::store_fixture
{
    store_client client{ context.get_executor(), { .addresses = { platform.address() } }, counters };
    last_reason why;

    auto create(const std::string &name) -> std::uint64_t
    {
        return run(client.create("kind", name, name, why)).current.revision;
    }

    /// The operator's write, past the client.
    auto put(const std::string &name, const std::string &value) const -> void
    {
        const auto body = R"({"metadata":{"name":")" + name + R"("},"spec":")" + value + R"("})";
        if (test::httpCall(platform.address(), { "PUT", "/v1/objects/kind/" + name, {}, body }).status == 404U) {
            test::httpCall(platform.address(), { "POST", "/v1/objects/kind", {}, body });
        }
    }

    auto restore(std::uint64_t revision) const -> void
    {
        const auto body = R"({"revision":)" + std::to_string(revisionNumber(revision)) + "}";
        test::httpCall(platform.address(), { "POST", "/control/restore", {}, body });
    }
};

/// Answers calls by empty lists, each with the next of \p answers.
class era_server
{
public:
    /// One answer: a header line or none, and the revision of the list.
    struct answer
    {
        std::string header;
        int revision = 7;
        std::chrono::milliseconds delay{ 0 };
        bool isLast = false; ///< The next answer is on another connection.
    };

    explicit era_server(std::vector<answer> answers)
        : m_acceptor(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , m_thread([this, answers = std::move(answers)] { serve(answers); })
    {
    }

    ~era_server()
    {
        m_thread.join();
    }
    era_server(const era_server &) = delete;
    auto operator=(const era_server &) -> era_server & = delete;

    [[nodiscard]] auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    using tcp = boost::asio::ip::tcp;

    auto serve(const std::vector<answer> &answers) -> void
    {
        auto error = boost::system::error_code();
        auto socket = m_acceptor.accept(error);
        auto received = std::string();
        for (const auto &next : answers) {
            const auto body = R"({"entries":[],"truncated":false,"at":)" + std::to_string(next.revision) + "}";
            const auto size = boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", error);
            received.erase(0, error ? 0 : size);
            std::this_thread::sleep_for(next.delay);
            const auto head = "HTTP/1.1 200 OK\r\n" + next.header + "Content-Length: " + std::to_string(body.size());
            boost::asio::write(socket, boost::asio::buffer(head + "\r\n\r\n" + body), error);
            if (next.isLast) {
                socket = m_acceptor.accept(error);
                received.clear();
            }
        }
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store_revision_test, restored_store_fixture)

BOOST_AUTO_TEST_CASE(a_revision_of_a_later_era_is_newer_whatever_its_number)
{
    BOOST_TEST(orderedRevision(0, 990) == 990U);
    BOOST_TEST(orderedRevision(2, 1) > orderedRevision(1, maxRevisionNumber));
    BOOST_TEST(orderedRevision(2, 990) < orderedRevision(2, 991));
    BOOST_TEST(eraOf(orderedRevision(maxStoreEra, 5)) == maxStoreEra);
    BOOST_TEST(revisionNumber(orderedRevision(maxStoreEra, 5)) == 5U);
    BOOST_TEST(revisionText(orderedRevision(0, 5)) == "5");
    BOOST_TEST(revisionText(orderedRevision(3, 5)) == "3:5");
    // Only the number is sent.
    BOOST_TEST(platform::watchTarget("k", orderedRevision(3, 5), std::chrono::milliseconds(9))
               == "/v1/objects/k?subscription=5&wait_ms=9");
    BOOST_TEST(platform::objectTargetAt("k", "n", orderedRevision(3, 5)) == "/v1/objects/k/n?revision=5");
    BOOST_TEST(platform::encodeObject("n", "v", orderedRevision(3, 5)) == platform::encodeObject("n", "v", 5));
}

BOOST_AUTO_TEST_CASE(only_whole_numbers_in_range_are_eras)
{
    BOOST_TEST((platform::decodeEra("12") == 12U));
    for (const auto *value : { "", "-1", "1.5", " 1", "1 ", "x", "99999999999999999999", "2048" }) {
        BOOST_TEST(!platform::decodeEra(value).has_value());
    }
}

BOOST_AUTO_TEST_CASE(what_a_store_says_after_its_return_from_an_older_copy_is_newer)
{
    const auto copy = create("a");
    create("b");
    create("c");
    const auto before = run(client.list("kind", why));
    restore(copy);
    const auto after = run(client.list("kind", why));
    BOOST_REQUIRE((before && after));
    BOOST_TEST(after->objects.size() == 1U);
    BOOST_TEST(after->revision > before->revision);
    BOOST_TEST(after->objects.front().revision > before->revision);
    BOOST_TEST(client.era() == 2U);
}

BOOST_AUTO_TEST_CASE(a_watch_does_not_continue_from_a_revision_that_was_given_out_again)
{
    const auto copy = create("a");
    const auto seen = create("b");
    restore(copy);
    put("x", "1");
    put("y", "1"); // The store is past the number that the watch has seen.
    auto events = 0;
    const auto end = run(client.watch({ "kind" }, seen, [&](const watch_event &) {
        ++events;
        return false;
    }));
    BOOST_TEST((end == watch_end::expired));
    BOOST_TEST(events == 0);
    const auto again = run(client.watch({ "kind" }, seen, [](const watch_event &) { return false; }));
    BOOST_TEST((again == watch_end::expired));
}

BOOST_AUTO_TEST_CASE(a_write_whose_condition_is_of_an_earlier_era_does_not_replace_other_content)
{
    create("a");
    const auto copy = create("b");
    const auto lost = run(client.update("kind", "a", "old", orderedRevision(1, 1), why)).current.revision;
    restore(copy);
    put("a", "new"); // Gets the number of the lost write.
    BOOST_REQUIRE(run(client.list("kind", why)));
    const auto updated = run(client.update("kind", "a", "mine", lost, why));
    BOOST_TEST((updated.result == write_result::conflict));
    BOOST_TEST(updated.current.value == "new");
    BOOST_TEST((run(client.remove("kind", "a", lost, why)).result == write_result::conflict));
    const auto current = run(client.get("kind", "a", why));
    BOOST_REQUIRE(current);
    BOOST_TEST(current->value == "new");
    BOOST_TEST((run(client.update("kind", "a", "mine", current->revision, why)).result == write_result::written));
}

BOOST_AUTO_TEST_CASE(a_missing_odd_or_falling_era_changes_nothing)
{
    auto server = era_server({ { "Store-Era: 3\r\n" },
                               { "" },
                               { "Store-Era: x\r\n" },
                               { "Store-Era: -1\r\n" },
                               { "Store-Era: 2\r\n" },
                               { "Store-Era: 99999999999999999999\r\n" },
                               { "Store-Era: 4\r\n" } });
    auto reader = store_client(context.get_executor(), { .addresses = { server.address() } }, counters);
    for (const auto expected : { 3U, 3U, 3U, 3U, 3U, 3U, 4U }) {
        const auto listed = run(reader.list("kind", why));
        BOOST_REQUIRE(listed);
        BOOST_TEST(listed->revision == orderedRevision(expected, 7));
    }
}

BOOST_AUTO_TEST_CASE(a_list_below_a_known_revision_begins_an_era_where_the_store_states_none)
{
    // The list that shows it is read again.
    auto server = era_server({ { "", 9 }, { "", 9 }, { "", 5 }, { "", 5 }, { "", 6 } });
    auto reader = store_client(context.get_executor(), { .addresses = { server.address() } }, counters);
    for (const auto expected :
         { orderedRevision(0, 9), orderedRevision(0, 9), orderedRevision(1, 5), orderedRevision(1, 6) }) {
        const auto listed = run(reader.list("kind", why));
        BOOST_REQUIRE(listed);
        BOOST_TEST(listed->revision == expected);
    }
}

BOOST_AUTO_TEST_CASE(a_stale_list_or_one_below_a_stated_eras_revision_begins_no_era)
{
    auto server = era_server({ { "", 9 }, { "", 5 }, { "Store-Era: 1\r\n", 9 }, { "Store-Era: 1\r\n", 5 } });
    auto reader = store_client(context.get_executor(), { .addresses = { server.address() } }, counters);
    BOOST_REQUIRE(run(reader.list("kind", why)));
    BOOST_TEST(run(reader.list("kind", why, read_freshness::mayBeStale))->revision == 5U);
    BOOST_TEST(run(reader.list("kind", why))->revision == orderedRevision(1, 9));
    BOOST_TEST(run(reader.list("kind", why))->revision == orderedRevision(1, 5));
    reader.noteEraOfOthers(4);
    BOOST_TEST(reader.era() == 1U);
}

BOOST_AUTO_TEST_CASE(an_answer_that_was_on_its_way_when_an_era_began_is_not_taken_for_one_of_that_era)
{
    constexpr auto delay = std::chrono::milliseconds(100);
    auto server = era_server({ { "", 9 }, { "", 9, delay, true }, { "", 5 } });
    auto reader = store_client(context.get_executor(), { .addresses = { server.address() } }, counters);
    BOOST_REQUIRE(run(reader.list("kind", why)));
    auto timer = boost::asio::steady_timer(context, delay / 2);
    timer.async_wait([&](const boost::system::error_code &) { reader.noteEraOfOthers(1); });
    const auto listed = run(reader.list("kind", why));
    BOOST_REQUIRE(listed);
    BOOST_TEST(listed->revision == orderedRevision(1, 5));
    BOOST_TEST(counters.at("marjoramloom_platform_earlier_era_answers_total").value() == 1U);
}

BOOST_AUTO_TEST_CASE(an_era_that_another_router_found_holds_where_the_store_states_none)
{
    auto server = era_server({ { "", 9 }, { "", 5 } });
    auto reader = store_client(context.get_executor(), { .addresses = { server.address() } }, counters);
    BOOST_REQUIRE(run(reader.list("kind", why)));
    reader.noteEraOfOthers(3);
    BOOST_TEST(run(reader.list("kind", why))->revision == orderedRevision(3, 5));
    reader.noteEraOfOthers(2);
    BOOST_TEST(reader.era() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
