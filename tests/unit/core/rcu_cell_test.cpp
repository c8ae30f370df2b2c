#include "marjoramloom/core/rcu_cell.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace marjoramloom;

BOOST_AUTO_TEST_SUITE(rcu_cell_test)

BOOST_AUTO_TEST_CASE(a_value_that_was_read_outlives_its_replacement)
{
    auto cell = rcu_cell<int>(std::make_shared<const int>(1));
    const auto before = cell.read();
    cell.publish(std::make_shared<const int>(2));
    BOOST_TEST(*before == 1);
    BOOST_TEST(*cell.read() == 2);
}

BOOST_AUTO_TEST_CASE(readers_never_see_values_out_of_order)
{
    constexpr auto last = 500;
    auto cell = rcu_cell<int>(std::make_shared<const int>(0));
    auto ordered = std::atomic<bool>(true);
    const auto readAll = [&] {
        auto newest = 0;
        while (newest < last) {
            const auto value = *cell.read();
            ordered = ordered && value >= newest;
            newest = value;
        }
    };
    auto first = std::thread(readAll);
    auto second = std::thread(readAll);
    for (auto value = 1; value <= last; ++value) {
        cell.publish(std::make_shared<const int>(value));
    }
    first.join();
    second.join();
    BOOST_TEST(ordered.load());
}

BOOST_AUTO_TEST_SUITE_END()
