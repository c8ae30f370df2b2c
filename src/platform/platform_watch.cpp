#include "marjoramloom/core/endpoint.h"
#include "marjoramloom/core/log.h"
#include "marjoramloom/platform/platform_client.h"
#include "marjoramloom/platform/retry_backoff.h"

#include <boost/algorithm/string/join.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto chunkBytes = std::size_t(16) << 10U;
constexpr auto lineLimitBytes = std::size_t(4) << 20U; ///< A stored value of 1 MiB, escaped.

/// One open watch. Lines are cut from the chunked answer.
class watch_stream
{
public:
    watch_stream(const asio::any_io_executor &executor, std::string address, std::chrono::milliseconds silence)
        : m_address(std::move(address))
        , m_silence(silence)
        , m_stream(executor)
    {
        m_parser.body_limit(boost::none);
    }

    /// Sends the request and reads the answer's head; its status, or 0 with a reason.
    auto open(std::string target, last_reason &why) -> asio::awaitable<unsigned>
    {
        const auto endpoint = parseEndpoint(m_address, why);
        if (!endpoint) {
            co_return 0;
        }
        m_stream.expires_after(m_silence);
        const auto [connectError] = co_await m_stream.async_connect(*endpoint, asTuple);
        if (connectError) {
            why.fail(failure_kind::notSent, "connect", m_address, connectError.message());
            co_return 0;
        }
        auto request = http::request<http::empty_body>(http::verb::get, target, 11);
        request.set(http::field::host, m_address);
        const auto [writeError, written] = co_await http::async_write(m_stream, request, asTuple);
        if (writeError) {
            why.fail(failure_kind::unavailable, "send request", m_address, writeError.message());
            co_return 0;
        }
        const auto [readError, received] = co_await http::async_read_header(m_stream, m_buffer, m_parser, asTuple);
        if (readError) {
            why.fail(failure_kind::unavailable, "read head", m_address, readError.message());
            co_return 0;
        }
        co_return m_parser.get().result_int();
    }

    /// The next whole line; nothing where the connection ended or no line came within the silence limit.
    auto nextLine(last_reason &why) -> asio::awaitable<std::optional<std::string>>
    {
        const auto deadline = std::chrono::steady_clock::now() + m_silence;
        for (;;) {
            const auto end = m_pending.find('\n');
            if (end != std::string::npos) {
                auto line = m_pending.substr(0, end);
                m_pending.erase(0, end + 1);
                co_return line;
            }
            if (m_parser.is_done() || m_pending.size() > lineLimitBytes) {
                co_return why.fail(failure_kind::unavailable, "read watch", m_address, "the watch ended");
            }
            m_stream.expires_at(deadline);
            const auto read = co_await readSome(why);
            if (!read) {
                co_return std::nullopt;
            }
        }
    }

private:
    auto readSome(last_reason &why) -> asio::awaitable<bool>
    {
        auto chunk = std::string(chunkBytes, '\0');
        m_parser.get().body().data = chunk.data();
        m_parser.get().body().size = chunk.size();
        const auto [error, received] = co_await http::async_read_some(m_stream, m_buffer, m_parser, asTuple);
        if (error && error != http::error::need_buffer) {
            const auto silent = error == beast::error::timeout;
            why.fail(silent ? failure_kind::deadlineExceeded : failure_kind::unavailable, "read watch", m_address,
                     silent ? "no bookmark in time" : error.message());
            co_return false;
        }
        m_pending.append(chunk, 0, chunk.size() - m_parser.get().body().size);
        co_return true;
    }

    std::string m_address;
    std::chrono::milliseconds m_silence;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    http::response_parser<http::buffer_body> m_parser;
    std::string m_pending;
};

} // namespace

auto platform_client::watch(std::vector<std::string> kinds, std::uint64_t since, watch_callback callback)
    -> asio::awaitable<watch_end>
{
    auto revision = since;
    auto backoff = retry_backoff(m_options.retryFirst, m_options.retryLimit, std::random_device()());
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    for (;;) {
        auto why = last_reason();
        const auto before = revision;
        const auto end = co_await watchOnce(kinds, revision, callback, why);
        if (end != watch_end::broken) {
            co_return end;
        }
        m_redials.add();
        log_line(log_level::warning, "watch_redial").with("reason", why.text()).with("revision", revision);
        if (revision > before) {
            backoff.reset();
        }
        timer.expires_after(backoff.next());
        co_await timer.async_wait(asio::use_awaitable);
    }
}

auto platform_client::watchOnce(std::vector<std::string> kinds, std::uint64_t &revision, watch_callback &callback,
                                last_reason &why) -> asio::awaitable<watch_end>
{
    const auto executor = co_await asio::this_coro::executor;
    const auto address = preferredAddress();
    auto stream = watch_stream(executor, address, m_options.watchSilence);
    auto target = "/v1/watch?kinds=" + boost::algorithm::join(kinds, ",") + "&since=" + std::to_string(revision);
    const auto status = co_await stream.open(std::move(target), why);
    if (status == static_cast<unsigned>(http::status::gone)) {
        co_return watch_end::expired;
    }
    if (status != static_cast<unsigned>(http::status::ok)) {
        if (status != 0) {
            why.fail(failure_kind::unavailable, "watch", address, "status " + std::to_string(status));
        }
        preferNext(address);
        co_return watch_end::broken;
    }
    for (;;) {
        const auto line = co_await stream.nextLine(why);
        const auto event = line ? parseWatchLine(*line, why) : std::nullopt;
        if (!event) {
            preferNext(address);
            co_return watch_end::broken;
        }
        noteAnswer();
        const auto known = event->kind != watch_event_kind::bookmark && event->revision <= revision;
        revision = std::max(revision, event->revision);
        if (!known && !callback(*event)) {
            co_return watch_end::stopped;
        }
    }
}

} // namespace marjoramloom
