#include "support/gateway_fleet.h"
#include "support/scripted_server.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom::test;

namespace {

auto headOf(const std::string &id, const std::string &fields, const std::string &status = "200 OK") -> std::string
{
    const auto idField = id.empty() ? std::string() : "X-Attempt-Id: " + id + "\r\n";
    return "HTTP/1.1 " + status + "\r\n" + idField + "X-Response-Seal: seal\r\n" + fields + "\r\n";
}

auto wholeAnswer(const std::string &id, const std::string &body, const std::string &status = "200 OK") -> std::string
{
    return headOf(id, "Content-Length: " + std::to_string(body.size()) + "\r\n", status) + body;
}

auto refusal(const std::string &id) -> std::string
{
    return headOf(id, "X-Not-Executed: 1\r\nContent-Length: 0\r\n", "503 Full");
}

/// Events \p first to \p last of a stream.
auto events(int first, int last) -> std::string
{
    auto text = std::string();
    for (auto number = first; number <= last; ++number) {
        text += "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
    }
    return text;
}

constexpr auto unframedStream = "Content-Type: text/event-stream\r\n";

/// One router before one scripted server for each script.
class faulty_fleet
{
public:
    explicit faulty_fleet(std::vector<scripted_server::script> scripts)
    {
        for (auto &answerFor : scripts) {
            m_servers.push_back(std::make_unique<scripted_server>(std::move(answerFor)));
        }
        auto plan = gateway_plan();
        plan.routers = 1;
        plan.servers = static_cast<int>(m_servers.size());
        plan.listedServerAddress = [this](const std::string &) {
            return m_servers[m_listed++ % m_servers.size()]->address();
        };
        m_fleet = std::make_unique<gateway_fleet>(std::move(plan));
    }

    auto call(const std::string &path, const std::string &id) -> http_answer
    {
        return m_fleet->call(m_fleet->routers().front(), path, id);
    }

    [[nodiscard]] auto server(std::size_t index) const -> const scripted_server &
    {
        return *m_servers[index];
    }

private:
    std::vector<std::unique_ptr<scripted_server>> m_servers;
    std::size_t m_listed = 0;
    std::unique_ptr<gateway_fleet> m_fleet;
};

} // namespace

BOOST_AUTO_TEST_SUITE(faulty_answer_test)

BOOST_AUTO_TEST_CASE(an_earlier_refusal_that_is_written_again_does_not_count_for_the_next_request)
{
    for (const auto &refusedId : { std::string(), std::string("first") }) {
        for (const auto *path : { "/once/x", "/open/x" }) {
            BOOST_TEST_CONTEXT("path " << path << ", id of the refusal '" << refusedId << "'")
            {
                auto fleet = faulty_fleet({ [&](const std::string &id) {
                    const auto own = wholeAnswer(id, "answer to " + id);
                    return scripted_answer{ id == "first" ? own : refusal(refusedId) + own };
                } });
                BOOST_TEST(fleet.call("/open/x", "first").status == 200U);
                const auto answer = fleet.call(path, "second");
                BOOST_TEST(fleet.server(0).onKeptConnection == 1);
                BOOST_TEST((answer.status == 200U || answer.status == 502U || answer.status == 504U),
                           "status " << answer.status);
                BOOST_TEST((answer.status != 200U || answer.body == "answer to second"));
                BOOST_TEST((std::string(path) != "/once/x" || fleet.server(0).requests == 2));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(an_error_of_the_next_engine_does_not_appear_within_a_stream)
{
    const auto errors = std::vector<std::pair<std::string, std::function<std::string(const std::string &)>>>{
        { "status 500",
          [](const auto &id) {
              return wholeAnswer(id, "broken", "500 Internal Server Error");
          } },
        { "status 404",
          [](const auto &id) {
              return wholeAnswer(id, "gone", "404 Not Found");
          } },
        { "status 200 without a stream",
          [](const auto &id) {
              return wholeAnswer(id, "{\"error\":1}");
          } },
        { "status 204",
          [](const auto &id) {
              return headOf(id, "", "204 No Content");
          } },
        { "a refusal",
          [](const auto &id) {
              return refusal(id);
          } },
        { "an error as event",
          [](const auto &id) {
              return headOf(id, unframedStream) + "event: error\ndata: broken\n\n";
          } },
        { "an error without a stream's form",
          [](const auto &id) {
              return headOf(id, unframedStream) + "broken\n\n";
          } },
        { "a stream of nothing",
          [](const auto &id) {
              return headOf(id, unframedStream);
          } },
    };
    for (const auto &[name, error] : errors) {
        BOOST_TEST_CONTEXT(name)
        {
            auto began = std::atomic<bool>(false);
            const auto script = [&began, &error = error](const std::string &id) {
                if (!began.exchange(true)) {
                    return scripted_answer{ headOf(id, unframedStream) + events(1, 3) + "id: 4\nda",
                                            connection_end::close };
                }
                return scripted_answer{ error(id), connection_end::close };
            };
            auto fleet = faulty_fleet({ script, script });
            const auto answer = fleet.call("/talk/x", "stream");
            BOOST_TEST(answer.status == 200U);
            BOOST_TEST(answer.body == events(1, 3));
            BOOST_TEST(!answer.complete);
        }
    }
}

BOOST_AUTO_TEST_CASE(an_answer_whose_head_or_body_breaks_off_does_not_become_a_whole_one)
{
    const auto forms = std::vector<std::pair<std::string, std::function<scripted_answer(const std::string &)>>>{
        { "within the status line",
          [](const auto &) {
              return scripted_answer{ "HTTP/1.1 200 O", connection_end::close };
          } },
        { "within a field",
          [](const auto &id) {
              return scripted_answer{ "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nConten", connection_end::close };
          } },
        { "after a field",
          [](const auto &id) {
              return scripted_answer{ "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\n", connection_end::close };
          } },
        { "head, by a reset",
          [](const auto &id) {
              return scripted_answer{ "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\n", connection_end::reset };
          } },
        { "body with length",
          [](const auto &id) {
              return scripted_answer{ headOf(id, "Content-Length: 9\r\n") + "short", connection_end::close };
          } },
        { "body in chunks",
          [](const auto &id) {
              return scripted_answer{ headOf(id, "Transfer-Encoding: chunked\r\n") + "5\r\nshort\r\n",
                                      connection_end::close };
          } },
        { "body without length, by a reset",
          [](const auto &id) {
              return scripted_answer{ headOf(id, "") + "short", connection_end::reset };
          } },
    };
    for (const auto &[name, answerFor] : forms) {
        BOOST_TEST_CONTEXT(name)
        {
            auto fleet = faulty_fleet({ answerFor, answerFor });
            for (const auto *path : { "/read/x", "/post/x", "/once/x" }) {
                const auto answer = fleet.call(path, std::string("broken-") + path[1]);
                BOOST_TEST((answer.status == 502U || answer.status == 504U), path << " status " << answer.status);
            }
        }
    }
}

/// Guards against the success of a process that is no backend server, which runs nothing (review/2).
BOOST_AUTO_TEST_CASE(a_success_without_a_seal_is_a_failure_of_unknown_outcome)
{
    const auto withoutSeal = [](std::string answer) {
        const auto field = std::string("X-Response-Seal: seal\r\n");
        return answer.replace(answer.find(field), field.size(), "");
    };
    using answer_form = std::function<std::string(const std::string &)>;
    const auto forms = std::vector<std::pair<std::string, answer_form>>{
        { "complete",
          [&](const auto &id) {
              return withoutSeal(wholeAnswer(id, "alive"));
          } },
        { "complete, without an id",
          [&](const auto &) {
              return withoutSeal(wholeAnswer("", "alive"));
          } },
        { "without content",
          [&](const auto &id) {
              return withoutSeal(headOf(id, "", "204 No Content"));
          } },
        { "an empty seal",
          [](const auto &id) {
              return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal:\r\nContent-Length: 0\r\n\r\n";
          } },
        { "not run",
          [&](const auto &id) {
              return withoutSeal(headOf(id, "X-Not-Executed: 1\r\nContent-Length: 0\r\n"));
          } },
        { "a stream",
          [&](const auto &id) {
              const auto body = events(1, 5);
              return withoutSeal(
                         headOf(id, unframedStream + ("Content-Length: " + std::to_string(body.size())) + "\r\n"))
                  + body;
          } },
    };
    for (const auto &[name, answerFor] : forms) {
        BOOST_TEST_CONTEXT(name)
        {
            auto strangers = std::atomic<int>(0);
            const auto strange = [&strangers, &answerFor = answerFor](const std::string &id) {
                return id == "warm" ? scripted_answer{ wholeAnswer(id, "ok") }
                                    : (++strangers, scripted_answer{ answerFor(id) });
            };
            auto fleet = faulty_fleet({ strange, strange });
            BOOST_TEST(fleet.call("/read/x", "warm").status == 200U); // Leaves a kept connection.
            for (const auto *path : { "/read/x", "/post/x", "/talk/x", "/once/x" }) {
                const auto answer = fleet.call(path, std::string("strange-") + path[1]);
                BOOST_TEST(answer.status == 502U, path << " status " << answer.status);
                BOOST_TEST(answer.body.find("alive") == std::string::npos);
            }
            BOOST_TEST(strangers >= 4);
            // A request that may run twice gets the answer of a server that proves it.
            auto first = std::atomic<bool>(true);
            const auto once = [&first, &answerFor = answerFor](const std::string &id) {
                return scripted_answer{ first.exchange(false) ? answerFor(id) : wholeAnswer(id, "own") };
            };
            auto mixed = faulty_fleet({ once, once });
            BOOST_TEST(mixed.call("/read/x", "repeated").body == "own");
        }
    }
}

BOOST_AUTO_TEST_CASE(an_answer_whose_status_is_none_is_a_failure_at_once)
{
    for (const auto *status : { "000 None", "099 None", "600 None", "999 None" }) {
        for (const auto *path : { "/read/x", "/post/x", "/talk/x", "/once/x" }) {
            BOOST_TEST_CONTEXT("status " << status << ", path " << path)
            {
                const auto script = [&](const std::string &id) {
                    return scripted_answer{ wholeAnswer(id, "none", status), connection_end::keep };
                };
                auto fleet = faulty_fleet({ script, script });
                const auto startedAt = std::chrono::steady_clock::now();
                const auto answer = fleet.call(path, "none");
                BOOST_TEST(answer.status == 502U, "status " << answer.status);
                // The caller waits for 4 s at the most.
                BOOST_TEST((std::chrono::steady_clock::now() - startedAt < std::chrono::seconds(2)));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_success_behind_an_answer_whose_status_is_none_is_not_an_answer)
{
    const auto script = [](const std::string &id) {
        return scripted_answer{ headOf(id, "Content-Length: 0\r\n", "000 None") + wholeAnswer(id, "behind"),
                                connection_end::keep };
    };
    auto fleet = faulty_fleet({ script, script });
    for (const auto *path : { "/read/x", "/post/x" }) {
        BOOST_TEST(fleet.call(path, std::string("none-") + path[1]).status == 502U);
    }
}

BOOST_AUTO_TEST_CASE(an_unsealed_stream_does_not_go_on_with_one_that_began)
{
    auto attempts = std::atomic<int>(0);
    const auto answerFor = [&](const std::string &id) {
        if (attempts++ == 0) {
            return scripted_answer{ headOf(id, unframedStream) + events(1, 3), connection_end::reset };
        }
        return scripted_answer{ "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\n" + unframedStream + "\r\n"
                                    + events(4, 12),
                                connection_end::close };
    };
    auto fleet = faulty_fleet({ answerFor, answerFor });
    const auto answer = fleet.call("/talk/stream", "resumed");
    BOOST_TEST(attempts == 2);
    BOOST_TEST(answer.body == events(1, 3));
    BOOST_TEST(!answer.complete);
}

BOOST_AUTO_TEST_CASE(a_stream_with_neither_length_nor_chunks_is_whole_only_if_it_ends_between_events_without_a_reset)
{
    const auto send = [](const std::string &text, connection_end end) {
        auto fleet = faulty_fleet({ [&](const std::string &id) {
            return scripted_answer{ headOf(id, unframedStream) + text, end };
        } });
        return fleet.call("/once/x", "unframed");
    };
    const auto whole = send(events(1, 5), connection_end::close);
    BOOST_TEST(whole.status == 200U);
    BOOST_TEST(whole.complete);
    BOOST_TEST(whole.body == events(1, 5));
    BOOST_TEST(!send(events(1, 5) + "id: 6\n", connection_end::close).complete);
    BOOST_TEST(!send(events(1, 5) + "id: 6\ndata: piece", connection_end::close).complete);
    BOOST_TEST(!send(events(1, 5), connection_end::reset).complete);
}

BOOST_AUTO_TEST_CASE(a_complete_answer_with_neither_length_nor_chunks_is_forwarded)
{
    auto fleet = faulty_fleet({ [](const std::string &id) {
        return scripted_answer{ headOf(id, "") + "whole", connection_end::close };
    } });
    const auto answer = fleet.call("/post/x", "unframed");
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(answer.body == "whole");
    BOOST_TEST(answer.complete);
}

BOOST_AUTO_TEST_CASE(events_that_arrive_together_with_one_after_a_gap_reach_the_caller)
{
    auto attempts = std::atomic<int>(0);
    const auto answerFor = [&](const std::string &id) {
        // The stream goes on where the first attempt had a gap.
        const auto body = attempts++ == 0 ? events(1, 2) + events(4, 4) : events(3, 12);
        return scripted_answer{ headOf(id, unframedStream) + body, connection_end::close };
    };
    auto fleet = faulty_fleet({ answerFor, answerFor });
    const auto answer = fleet.call("/talk/stream", "r-1");
    BOOST_TEST(attempts == 2);
    BOOST_TEST(answer.complete);
    BOOST_TEST(answer.body == events(1, 12));
}

BOOST_AUTO_TEST_SUITE_END()
