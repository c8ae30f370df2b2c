#include "generation.h"

#include <boost/asio.hpp>

namespace standins {

namespace asio = boost::asio;

generation::generation(const asio::any_io_executor &executor, std::string requestId, generated_answer whole)
    : id(std::move(requestId))
    , answer(std::move(whole))
    , m_changeSignal(executor, asio::steady_timer::time_point::max())
{
}

auto generation::notify() -> void
{
    m_changeSignal.cancel();
}

auto generation::waitForChange() -> asio::awaitable<void>
{
    auto ignored = boost::system::error_code();
    auto token = asio::redirect_error(asio::use_awaitable, ignored);
    co_await m_changeSignal.async_wait(token);
}

} // namespace standins
