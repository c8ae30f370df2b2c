namespace standins {

template<http_standin Standin>
http_server<Standin>::http_server(boost::asio::io_context &context, Standin &standin, standin_context &shared)
    : m_context(context)
    , m_standin(standin)
    , m_shared(shared)
    , m_acceptor(context)
{
}

template<http_standin Standin>
auto http_server<Standin>::start(const std::string &address, std::uint16_t port) -> void
{
    m_endpoint = tcp::endpoint(boost::asio::ip::make_address(address), port);
    openListener();
    m_endpoint = m_acceptor.local_endpoint();
    std::cout << "listening " << m_endpoint << std::endl;
    boost::asio::co_spawn(m_context, acceptAll(), boost::asio::detached);
}

template<http_standin Standin>
auto http_server<Standin>::openListener() -> void
{
    m_acceptor.open(m_endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(m_endpoint);
    m_acceptor.listen();
}

template<http_standin Standin>
auto http_server<Standin>::acceptAll() -> void_awaitable
{
    while (m_acceptor.is_open()) {
        auto error = boost::system::error_code();
        auto token = boost::asio::redirect_error(boost::asio::use_awaitable, error);
        auto socket = co_await m_acceptor.async_accept(token);
        if (!error) {
            boost::asio::co_spawn(m_context, serve(std::move(socket)), boost::asio::detached);
        }
    }
}

template<http_standin Standin>
auto http_server<Standin>::serve(tcp::socket socket) -> void_awaitable
{
    auto stream = beast::tcp_stream(std::move(socket));
    m_openStreams.insert(&stream);
    try {
        stream.socket().set_option(tcp::no_delay(true));
        co_await serveRequests(stream);
    } catch (const boost::system::system_error &) {
        // The client disconnected. A generation that it started continues.
    }
    m_openStreams.erase(&stream);
}

template<http_standin Standin>
auto http_server<Standin>::serveRequests(beast::tcp_stream &stream) -> void_awaitable
{
    constexpr auto maxBodyBytes = 16U << 20U;
    const auto openedAt = m_shared.epoch.value;
    auto buffer = beast::flat_buffer();
    auto isOpen = true;
    while (isOpen) {
        auto parser = http::request_parser<http::string_body>();
        parser.body_limit(maxBodyBytes);
        co_await http::async_read(stream, buffer, parser, boost::asio::use_awaitable);
        auto exchange = http_exchange(stream, parser.release(), m_shared.epoch, openedAt);
        if (exchange.path().starts_with("/control/")) {
            co_await control(exchange);
        } else {
            co_await m_standin.handle(exchange);
        }
        isOpen = exchange.keepAlive();
    }
}

template<http_standin Standin>
auto http_server<Standin>::control(http_exchange &exchange) -> void_awaitable
{
    auto answer = http_reply();
    auto error = boost::json::error_code();
    const auto document = exchange.body().empty() ? boost::json::value(boost::json::object())
                                                  : boost::json::parse(exchange.body(), error);
    if (error) {
        answer.status = http::status::bad_request;
        answer.body = error.message();
    } else if (exchange.path() == "/control/faults") {
        answer = replaceFaults(document);
    } else if (exchange.path() == "/control/record") {
        answer.contentType = "application/x-ndjson";
        answer.body = m_shared.record.lines();
    } else {
        answer = m_standin.control(exchange, document);
    }
    co_await exchange.reply(answer);
}

template<http_standin Standin>
auto http_server<Standin>::replaceFaults(const boost::json::value &document) -> http_reply
{
    auto answer = http_reply();
    const auto problem = m_shared.faults.replace(document);
    if (!problem.empty()) {
        answer.status = http::status::bad_request;
        answer.body = problem;
        return answer;
    }
    if (m_shared.faults.find(fault_kind::freezeOpen) != nullptr) {
        ++m_shared.epoch.value;
    }
    if (const auto *refused = m_shared.faults.find(fault_kind::refuseConnections)) {
        boost::asio::co_spawn(m_context, refuseConnections(refused->ms), boost::asio::detached);
    }
    return answer;
}

template<http_standin Standin>
auto http_server<Standin>::refuseConnections(std::int64_t milliseconds) -> void_awaitable
{
    constexpr auto controlReplyMs = 20; // Time for the reply to the control request to be sent.
    co_await sleepFor(controlReplyMs);
    m_acceptor.close();
    for (auto *stream : m_openStreams) {
        stream->cancel();
        stream->close();
    }
    co_await sleepFor(milliseconds);
    openListener();
    boost::asio::co_spawn(m_context, acceptAll(), boost::asio::detached);
}

} // namespace standins
