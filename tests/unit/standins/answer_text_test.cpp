#include "standins/answer_text.h"

#include <boost/test/unit_test.hpp>

using namespace standins;

BOOST_AUTO_TEST_SUITE(answer_text_test)

BOOST_AUTO_TEST_CASE(a_prefix_and_its_continuation_make_the_complete_answer)
{
    const auto question = std::vector<chat_message>{ { "user", "what of the hinge? tokens=12" } };
    const auto whole = completeAnswer(question);
    BOOST_TEST(whole.tokens.size() == 12U);
    const auto text = whole.text();
    for (auto cut = std::size_t(0); cut <= text.size(); ++cut) {
        auto continued = question;
        continued.push_back({ "assistant", text.substr(0, cut) });
        BOOST_TEST(text.substr(0, cut) + expectedAnswer(continued).text() == text);
    }
}

BOOST_AUTO_TEST_CASE(a_token_limit_truncates_the_answer_with_finish_reason_length)
{
    const auto question = std::vector<chat_message>{ { "user", "tokens=12" } };
    const auto limited = expectedAnswer(question, 5);
    BOOST_TEST(limited.tokens.size() == 5U);
    BOOST_TEST(limited.finishReason == "length");
    BOOST_TEST(expectedAnswer(question, 12).finishReason == "stop");
}

BOOST_AUTO_TEST_SUITE_END()
