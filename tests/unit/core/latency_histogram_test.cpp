#include "marjoramloom/core/latency_histogram.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(latency_histogram_test)

BOOST_AUTO_TEST_CASE(buckets_are_cumulative)
{
    auto counters = counter_registry();
    auto latency = latency_histogram(counters, "took", "kind=\"a\"");
    latency.observe(10ms);
    latency.observe(60ms);
    latency.observe(1h);
    const auto text = counters.text();
    for (const auto *line : { "took_bucket{kind=\"a\",le=\"0.01\"} 1\n", "took_bucket{kind=\"a\",le=\"0.05\"} 1\n",
                              "took_bucket{kind=\"a\",le=\"0.1\"} 2\n", "took_bucket{kind=\"a\",le=\"10\"} 2\n",
                              "took_bucket{kind=\"a\",le=\"+Inf\"} 3\n", "took_count{kind=\"a\"} 3\n",
                              "took_sum_us{kind=\"a\"} 3600070000\n" }) {
        BOOST_TEST(text.find(line) != std::string::npos, line);
    }
}

BOOST_AUTO_TEST_SUITE_END()
