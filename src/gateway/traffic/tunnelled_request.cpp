#include "marjoramloom/gateway/traffic/tunnelled_request.h"

#include "platform/header_format.h"

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

namespace marjoramloom {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";

} // namespace

auto tunnelled_request::add(std::string_view bytes) -> void
{
    m_size += bytes.size();
    m_begin += bytes.substr(0, KEPT_BYTES - m_begin.size());
    m_end += bytes.substr(bytes.size() - std::min(bytes.size(), LAST_CHUNK.size()));
    m_end.erase(0, m_end.size() - std::min(m_end.size(), LAST_CHUNK.size()));
}

auto tunnelled_request::hasBegun() const -> bool
{
    return m_size > 0;
}

auto tunnelled_request::summarize() const -> tunnelled_request_summary
{
    auto summary = tunnelled_request_summary();
    const auto headSize = m_begin.find(headEnd);
    const auto isWhole = headSize != std::string::npos;
    const auto lastLine = isWhole ? headSize : m_begin.rfind(lineEnd);
    // A head that is not kept to its end is read as far as its lines are complete.
    summary.isComplete = isWhole || m_size > m_begin.size();
    if (lastLine == std::string::npos) {
        return summary;
    }
    auto parser = http::request_parser<http::string_body>();
    auto error = boost::system::error_code();
    const auto head = m_begin.substr(0, lastLine).append(headEnd);
    parser.header_limit(static_cast<std::uint32_t>(head.size()));
    parser.put(boost::asio::const_buffer(head.data(), head.size()), error);
    if (!parser.is_header_done()) {
        return summary;
    }
    const auto &fields = parser.get().base();
    auto why = last_reason();
    if (auto decoded = platform::decodeRequest(fields, {}, why)) {
        summary.host = std::move(decoded->host);
        summary.path = std::move(decoded->path);
    }
    summary.id = platform::requestId(fields);
    summary.isHead = fields.method() == http::verb::head;
    if (isWhole) {
        const auto bodySize = m_size - headSize - headEnd.size();
        const auto hasLastChunk = m_end == LAST_CHUNK;
        summary.isComplete = parser.chunked() ? hasLastChunk : bodySize >= parser.content_length().value_or(0);
    }
    return summary;
}

} // namespace marjoramloom
