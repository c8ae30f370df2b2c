// How a store_client learns of the store's eras.
#include "marjoramloom/core/log.h"
#include "marjoramloom/store/store_client.h"
#include "platform/object_format.h"

#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace asio = boost::asio;

auto store_client::era() const -> std::uint32_t
{
    return m_era.load(std::memory_order_relaxed);
}

auto store_client::isOfEarlierEra(std::uint64_t revision) const -> bool
{
    return eraOf(revision) < era();
}

/// The outcome of a write whose condition is a revision of an earlier era. Its number may have been given out again, so
/// the write must not be sent.
auto store_client::conflictWithCurrent(std::string kind, std::string name, last_reason &why)
    -> asio::awaitable<write_outcome>
{
    auto current = co_await get(std::move(kind), std::move(name), why);
    if (!current) {
        co_return write_outcome{ write_result::notSent, {} };
    }
    why.fail(failure_kind::conflict, "write object", "platform", "the store returned from an older copy");
    co_return write_outcome{ write_result::conflict, std::move(*current) };
}

/// The era of an answer to a request that was sent in \p eraAtRequest; nothing if it may be of an era that has ended
/// since. An answer without a valid era counts as one of the current era.
auto store_client::eraOfAnswer(const http_response &response, std::uint32_t eraAtRequest, last_reason &why)
    -> std::optional<std::uint32_t>
{
    const auto known = era();
    const auto field = response[boost::beast::string_view(platform::eraField.data(), platform::eraField.size())];
    const auto text = std::string_view(field.data(), field.size());
    const auto stated = platform::decodeEra(text);
    if (stated) {
        m_statesEra.store(true, std::memory_order_relaxed);
    }
    if (stated && *stated > known) {
        m_era.store(*stated, std::memory_order_relaxed);
        if (known > 0) {
            log_line(log_level::warning, "store_era").with("era", *stated).with("before", known);
        }
        return stated;
    }
    if (stated.value_or(eraAtRequest) < known && eraAtRequest < known) {
        m_earlierEraAnswers.add();
        return why.fail(failure_kind::unavailable, "read answer", "platform", "an answer of an earlier era");
    }
    const auto isMissing = text.empty() && m_statesEra.load(std::memory_order_relaxed);
    if (isMissing || (!text.empty() && stated != known)) {
        noteOddEra(text);
    }
    return known;
}

auto store_client::noteEraOfOthers(std::uint32_t era) -> void
{
    if (!m_statesEra.load(std::memory_order_relaxed) && era > this->era()) {
        m_era.store(era, std::memory_order_relaxed);
    }
}

auto store_client::noteRevision(std::uint64_t revision) -> void
{
    if (revision > m_latestRevision.load(std::memory_order_relaxed)) {
        m_latestRevision.store(revision, std::memory_order_relaxed);
    }
}

/// Begins a new era if a list at \p listRevision shows that the store returned from an older copy without stating so:
/// \p knownRevision was known when the list was asked for, and the store's answers are linearizable.
auto store_client::beginUnstatedEra(std::uint64_t listRevision, std::uint64_t knownRevision) -> bool
{
    const auto known = eraOf(knownRevision);
    if (m_statesEra.load(std::memory_order_relaxed) || listRevision >= knownRevision || known == maxStoreEra) {
        return false;
    }
    if (era() == known) {
        m_era.store(known + 1, std::memory_order_relaxed);
        log_line(log_level::warning, "store_era")
            .with("era", known + 1)
            .with("before", known)
            .with("revision", revisionText(listRevision))
            .with("known_revision", revisionText(knownRevision));
    }
    return true;
}

auto store_client::noteOddEra(std::string_view stated) -> void
{
    if (!m_isOddEraLogged.exchange(true, std::memory_order_relaxed)) {
        log_line(log_level::warning, "store_era_odd").with("stated", stated).with("known", era());
    }
}

} // namespace marjoramloom
