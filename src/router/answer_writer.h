#pragma once

#include "marjoramloom/call/call_types.h"
#include "marjoramloom/router/http_exchange.h"

#include <string>

namespace marjoramloom {

/// Sends a model's answer to the caller: each piece as an event, or the complete answer in one reply at the end. Not
/// thread safe.
class answer_writer
{
public:
    /// Precondition: \p exchange outlives the writer.
    answer_writer(http_exchange &exchange, std::string requestId, std::string model, bool stream);

    /// Sends or stores the next piece. Returns false if it could not be sent because the caller disconnected.
    auto deliver(const answer_piece &piece) -> boost::asio::awaitable<bool>;

    /// Ends a complete answer.
    auto finish(const call_result &result) -> boost::asio::awaitable<void>;

    /// Ends an answer that cannot be completed. Sends an error reply if nothing was sent yet, else an error event,
    /// after which the chunked body stays unfinished.
    auto fail(const call_result &result) -> boost::asio::awaitable<void>;

private:
    auto start() -> boost::asio::awaitable<bool>;

    http_exchange &m_exchange;
    std::string m_requestId;
    std::string m_model;
    bool m_stream;
    std::string m_text; ///< Text so far of an answer that is sent in one reply.
    std::string m_finishReason;
    std::uint64_t m_nextSequence = 0;
};

} // namespace marjoramloom
