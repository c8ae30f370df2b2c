#pragma once

#include "answer_text.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace standins {

/// One request that an engine runs. It continues when its connection is lost, so that the stream can be resumed.
class generation
{
public:
    generation(const boost::asio::any_io_executor &executor, std::string id, generated_answer answer);

    const std::string id;
    const generated_answer answer;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::size_t produced = 0; ///< Tokens generated so far.
    bool cancelled = false;

    [[nodiscard]] auto done() const -> bool
    {
        return cancelled || produced == answer.tokens.size();
    }

    /// Wakes all coroutines in waitForChange().
    auto notify() -> void;

    /// Waits for the next notify().
    auto waitForChange() -> boost::asio::awaitable<void>;

private:
    boost::asio::steady_timer m_changeSignal; ///< Never expires; cancelled to wake the waiting coroutines.
};

} // namespace standins
