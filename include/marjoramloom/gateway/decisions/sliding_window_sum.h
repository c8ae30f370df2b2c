#pragma once

#include "marjoramloom/core/clock.h"

#include <array>
#include <cstdint>

namespace marjoramloom {

/// Sum of amounts over a sliding window of two seconds, in buckets of 100 ms. Not thread safe.
class sliding_window_sum
{
public:
    static constexpr duration LENGTH = std::chrono::milliseconds(2'000);
    /// A steady flow of this time amounts to fading().
    static constexpr duration FADING_LENGTH = std::chrono::milliseconds(1'050);

    auto add(std::uint64_t amount, time_point now) -> void
    {
        advance(now);
        m_buckets[m_currentBucket % BUCKET_COUNT] += amount;
        m_total += amount;
    }

    /// The sum over the window that ends at \p now.
    [[nodiscard]] auto total(time_point now) -> std::uint64_t
    {
        advance(now);
        return m_total;
    }

    /// The same, with each amount weighted by how far its bucket is from the window's end: in full at first, and by
    /// nothing as it leaves the window. So a burst is forgotten as gradually as a steady flow.
    [[nodiscard]] auto fading(time_point now) -> std::uint64_t
    {
        advance(now);
        auto weighted = std::uint64_t(0);
        for (auto age = std::uint64_t(0); m_total > 0 && age < BUCKET_COUNT; ++age) {
            weighted += m_buckets[(m_currentBucket + BUCKET_COUNT - age) % BUCKET_COUNT] * (BUCKET_COUNT - age);
        }
        return weighted / BUCKET_COUNT;
    }

private:
    static constexpr duration BUCKET_LENGTH = std::chrono::milliseconds(100);
    static constexpr std::uint64_t BUCKET_COUNT = LENGTH / BUCKET_LENGTH;

    auto advance(time_point now) -> void
    {
        const auto bucket = static_cast<std::uint64_t>(now.time_since_epoch() / BUCKET_LENGTH);
        if (bucket >= m_currentBucket + BUCKET_COUNT) {
            m_buckets.fill(0);
            m_total = 0;
            m_currentBucket = bucket;
        }
        while (m_currentBucket < bucket) {
            ++m_currentBucket;
            m_total -= m_buckets[m_currentBucket % BUCKET_COUNT];
            m_buckets[m_currentBucket % BUCKET_COUNT] = 0;
        }
    }

    std::array<std::uint64_t, BUCKET_COUNT> m_buckets{};
    std::uint64_t m_total = 0;
    std::uint64_t m_currentBucket = 0;
};

} // namespace marjoramloom
