#include "marjoramloom/gateway/decisions/answer_proof.h"

#include "marjoramloom/gateway/decisions/misdirection.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace marjoramloom;

BOOST_AUTO_TEST_SUITE(answer_proof_test)

/// Guards against an answer of a process that is no server, or of another request, that becomes a success.
BOOST_AUTO_TEST_CASE(a_success_is_that_of_the_server_only_with_its_seal_and_the_id_of_the_request)
{
    for (const auto status : { 200U, 204U, 206U, 299U, 300U, 404U, 421U, 429U, 500U, 503U }) {
        for (const auto *const id : { "", "r-1", "r-2" }) {
            for (const auto isSealed : { false, true }) {
                for (const auto isReused : { false, true }) {
                    const auto standing = answer_proof("r-1", isReused).judge({ status, id, isSealed });
                    const auto isOwn = std::string_view(id) == "r-1" || (std::string_view(id).empty() && !isReused);
                    const auto isProven = status >= 300 || isSealed;
                    BOOST_TEST((standing == answer_standing::own) == (isOwn && isProven));
                    BOOST_TEST((standing == answer_standing::unproven) == (isOwn && !isProven));
                    BOOST_TEST((standing == answer_standing::stray) == (std::string_view(id) == "r-2"));
                }
            }
        }
    }
}

/// Guards against a mark on a server for a condition that a caller has set.
BOOST_AUTO_TEST_CASE(only_an_answer_in_the_name_of_another_server_shows_that_the_list_is_outdated)
{
    BOOST_TEST((attributeMisdirection("i-1", "i-2") == misdirection::otherServer));
    BOOST_TEST((attributeMisdirection("i-1", "i-1") == misdirection::request));
    BOOST_TEST((attributeMisdirection("i-1", "") == misdirection::unknown));
}

BOOST_AUTO_TEST_SUITE_END()
