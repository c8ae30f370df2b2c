#include "execution_record.h"

#include "marjoramloom/core/hash.h"

#include <boost/json.hpp>
#include <chrono>

namespace standins {

auto execution_record::append(const execution_entry &entry) -> void
{
    constexpr auto maxRecordedBodyBytes = std::size_t(512);
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    auto line = boost::json::object();
    line["sequence"] = ++m_sequence;
    line["unix_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    line["request_id"] = entry.requestId;
    line["idempotency_key"] = entry.idempotencyKey;
    line["account"] = entry.account;
    line["method"] = entry.method;
    line["path"] = entry.path;
    line["body_hash"] = std::to_string(marjoramloom::hash64(entry.body));
    if (entry.body.size() <= maxRecordedBodyBytes) {
        line["body"] = entry.body;
    }
    line["tokens"] = entry.tokens;
    line["state"] = entry.state;
    m_lines += boost::json::serialize(line) + "\n";
}

} // namespace standins
