#pragma once

#include "marjoramloom/call/call_types.h"
#include "marjoramloom/router/http_exchange.h"

#include <string>

namespace marjoramloom {

/// Brings the pieces of a model's answer to the caller: as events at once, or whole at the end. Not thread safe.
class answer_writer
{
public:
    /// Precondition: \p exchange outlives the writer.
    answer_writer(http_exchange &exchange, std::string requestId, std::string model, bool stream);

    /// Takes the next piece; false where the caller is gone.
    auto deliver(const answer_piece &piece) -> boost::asio::awaitable<bool>;

    /// Ends a whole answer.
    auto finish(const call_result &result) -> boost::asio::awaitable<void>;

    /// Ends an answer that cannot be completed: an error reply where nothing was sent, else an error event and an
    /// unfinished body.
    auto fail(const call_result &result) -> boost::asio::awaitable<void>;

private:
    auto start() -> boost::asio::awaitable<bool>;

    http_exchange &m_exchange;
    std::string m_requestId;
    std::string m_model;
    bool m_stream;
    std::string m_text; ///< Of an answer that is sent whole.
    std::string m_finishReason;
    std::uint64_t m_nextSequence = 0;
};

} // namespace marjoramloom
