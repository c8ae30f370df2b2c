#include "marjoramloom/gateway/traffic/stream_lookup.h"

#include "marjoramloom/core/hash.h"
#include "marjoramloom/core/log.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

/// Streams are divided into this many groups with keepers of their own.
constexpr std::uint32_t keeperGroups = 64;
/// Streams in one message.
constexpr std::size_t maxStreamsPerMessage = 64;

} // namespace

stream_lookup::stream_lookup(asio::any_io_executor executor, gateway_state &state, send_question ask,
                             send_versions tell)
    : m_executor(std::move(executor))
    , m_state(state)
    , m_ask(std::move(ask))
    , m_tell(std::move(tell))
    , m_unknownStreams(state.counters.at("marjoramloom_streams_of_unknown_version_total"))
{
}

auto stream_lookup::keepersOf(std::uint64_t stream, std::size_t limit) -> std::vector<std::uint64_t>
{
    const auto group = static_cast<std::uint32_t>(stream % keeperGroups);
    const auto &order = m_state.roster.dispatchOrder(hash64("stream versions"), group);
    auto keepers = std::vector<std::uint64_t>(
        order.begin(), order.begin() + static_cast<std::ptrdiff_t>(std::min(limit, order.size())));
    std::erase(keepers, m_state.roster.self());
    return keepers;
}

auto stream_lookup::noteBegun(const std::string &service, const stream_version &begun) -> void
{
    const auto now = system_clock_source().now();
    m_state.streamVersions.note(begun, true, now);
    if (!m_state.soleVersion(service, now)) {
        tellKeepers({ begun });
    }
}

auto stream_lookup::tellKeepers(const std::vector<stream_version> &streams) -> void
{
    auto byKeeper = std::map<std::uint64_t, std::vector<stream_version>>();
    for (const auto &stream : streams) {
        for (const auto keeper : keepersOf(stream.stream, KEEPERS)) {
            byKeeper[keeper].push_back(stream);
        }
    }
    for (const auto &[keeper, told] : byKeeper) {
        for (auto first = std::size_t(0); first < told.size(); first += maxStreamsPerMessage) {
            const auto last = std::min(first + maxStreamsPerMessage, told.size());
            m_tell(keeper,
                   { told.begin() + static_cast<std::ptrdiff_t>(first),
                     told.begin() + static_cast<std::ptrdiff_t>(last) });
        }
    }
}

auto stream_lookup::find(const std::string &service, std::uint64_t stream)
    -> asio::awaitable<std::optional<std::uint64_t>>
{
    if (const auto sole = m_state.soleVersion(service, system_clock_source().now())) {
        co_return sole;
    }
    if (stream == 0) {
        m_unknownStreams.add();
        co_return std::nullopt;
    }
    if (const auto known = m_state.streamVersions.find(stream)) {
        co_return known;
    }
    const auto asked = keepersOf(stream, ASKED_ROUTERS);
    auto pending = std::make_shared<pending_question>(m_executor);
    pending->missing = asked.size();
    pending->timer.expires_after(ANSWER_TIMEOUT);
    m_pending[stream].push_back(pending);
    for (const auto router : asked) {
        m_ask(router, { .stream = stream, .service = serviceId(service) });
    }
    if (!asked.empty()) {
        auto error = boost::system::error_code();
        co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
    auto &others = m_pending[stream];
    std::erase(others, pending);
    if (others.empty()) {
        m_pending.erase(stream);
    }
    if (!pending->version) {
        m_unknownStreams.add();
    }
    log_line(log_level::info, "stream_version")
        .with("stream", stream)
        .with("known", pending->version ? "yes" : "no")
        .with("asked", asked.size())
        .with("silent", pending->missing);
    co_return pending->version;
}

auto stream_lookup::serviceId(const std::string &service) -> std::uint64_t
{
    return std::max<std::uint64_t>(hash64(service), 1);
}

auto stream_lookup::handleQuestion(std::uint64_t router, const stream_question &question) -> void
{
    auto version = m_state.streamVersions.find(question.stream);
    if (!version && question.service != 0) {
        version = soleVersionOf(question.service, system_clock_source().now());
    }
    m_tell(router, { { .stream = question.stream, .version = version.value_or(0) } });
}

auto stream_lookup::soleVersionOf(std::uint64_t serviceId, time_point now) const -> std::optional<std::uint64_t>
{
    if (!m_state.routes) {
        return std::nullopt;
    }
    const auto &services = m_state.routes->services();
    const auto found = std::find_if(services.begin(), services.end(), [&](const auto &service) {
        return stream_lookup::serviceId(service.name) == serviceId;
    });
    return found == services.end() ? std::nullopt : m_state.soleVersion(found->name, now);
}

auto stream_lookup::handleVersions(const std::vector<stream_version> &streams) -> void
{
    const auto now = system_clock_source().now();
    for (const auto &answer : streams) {
        m_state.streamVersions.note(answer, false, now);
        const auto asking = m_pending.find(answer.stream);
        if (asking == m_pending.end()) {
            continue;
        }
        for (const auto &pending : asking->second) {
            pending->missing -= std::min<std::size_t>(pending->missing, 1);
            pending->version = answer.version != 0 ? std::optional(answer.version) : pending->version;
            if (pending->version || pending->missing == 0) {
                pending->timer.cancel();
            }
        }
    }
}

auto stream_lookup::isAnyUncertain(time_point now) const -> bool
{
    if (!m_state.routes || !m_state.hasServers) {
        return false;
    }
    const auto &services = m_state.routes->services();
    return std::any_of(services.begin(), services.end(),
                       [&](const auto &service) { return service.engine && !m_state.soleVersion(service.name, now); });
}

auto stream_lookup::tick(time_point now) -> void
{
    const auto isUncertain = isAnyUncertain(now);
    if (isUncertain && !m_wasUncertain) {
        const auto streams = m_state.streamVersions.own();
        log_line(log_level::info, "software_versions").with("sole", "no").with("streams", streams.size());
        tellKeepers(streams);
    }
    m_wasUncertain = isUncertain;
}

} // namespace marjoramloom
