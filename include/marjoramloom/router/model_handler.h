#pragma once

#include "marjoramloom/router/http_exchange.h"
#include "marjoramloom/router/request_context.h"

namespace marjoramloom {

class answer_writer;
class completion_body;
struct admitted_request;

/// Serves `POST /v1/chat/completions`: requests to model services. Thread safe.
class model_handler
{
public:
    /// Precondition: the objects that \p context refers to outlive the handler.
    explicit model_handler(request_context &context);

    auto handle(http_exchange &exchange) -> boost::asio::awaitable<void>;

private:
    auto makeRequest(const admitted_request &admitted, const completion_body &body, const http_exchange &exchange) const
        -> model_request;
    auto runCall(http_exchange &exchange, model_request request, bool stream) -> boost::asio::awaitable<void>;
    auto finish(http_exchange &exchange, answer_writer &writer, const model_request &request, const call_result &result)
        -> boost::asio::awaitable<void>;
    auto count(const model_request &request, const call_result &result) -> void;

    request_context &m_context;
};

} // namespace marjoramloom
