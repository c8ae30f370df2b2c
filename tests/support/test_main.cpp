#define BOOST_TEST_MODULE marjoramloom
#include <boost/test/unit_test.hpp>
