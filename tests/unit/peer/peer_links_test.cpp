#include "marjoramloom/peer/peer_links.h"

#include "peer.pb.h"
#include "tcp_relay.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

/// Limit for waiting on real sockets; no check depends on a shorter time.
constexpr auto maxWait = std::chrono::seconds(20);

/// Two routers of one data centre on loopback, run by one thread.
struct two_routers
{
    /// With \p relayed, the second router is reached only through a relay.
    explicit two_routers(bool relayed = false)
        : relay(relayed ? std::make_unique<tcp_relay>(context) : nullptr)
        , first(context.get_executor(), makeMember("r1", 1, ""), {}, counters)
        , second(context.get_executor(), makeMember("r2", 2, relayed ? relay->address() : ""), {}, counters)
    {
        for (auto *links : { &first, &second }) {
            links->setReady(true);
        }
        second.setReceiver([this](incarnation_id, const wire::Envelope &message) {
            for (const auto &withdrawal : message.withdrawals()) {
                received.push_back(withdrawal.serial());
            }
        });
    }

    static auto makeMember(const std::string &instance, incarnation_id incarnation, const std::string &address)
        -> member
    {
        auto self = member();
        self.instance = instance;
        self.incarnation = incarnation;
        self.peerAddress = address;
        self.dataCentre = "a-1";
        self.region = "a";
        return self;
    }

    /// Starts both routers; the second has the first as a seed.
    auto start() -> void
    {
        auto why = last_reason();
        BOOST_REQUIRE_MESSAGE(first.start("127.0.0.1:0", why), why.text());
        BOOST_REQUIRE_MESSAGE(second.start("127.0.0.1:0", why), why.text());
        second.setSeeds({ first.self().peerAddress });
    }

    template<typename Condition>
    auto runUntil(Condition condition) -> bool
    {
        const auto end = std::chrono::steady_clock::now() + maxWait;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context.run_one_for(50ms);
            context.restart();
        }
        return condition();
    }

    auto knowEachOther() -> bool
    {
        return first.members().size() == 2 && second.members().size() == 2;
    }

    auto send(std::uint64_t serial) -> bool
    {
        auto message = std::make_unique<wire::Envelope>();
        message->add_withdrawals()->set_serial(serial);
        return first.send(2, std::move(message));
    }

    boost::asio::io_context context;
    counter_registry counters;
    std::unique_ptr<tcp_relay> relay;
    peer_links first;
    peer_links second;
    std::vector<std::uint64_t> received;
};

auto writeRaw(boost::asio::io_context &context, const std::string &address, const std::string &bytes)
    -> std::shared_ptr<boost::asio::ip::tcp::socket>
{
    const auto port = static_cast<unsigned short>(std::stoi(address.substr(address.rfind(':') + 1)));
    auto socket = std::make_shared<boost::asio::ip::tcp::socket>(context);
    socket->connect({ boost::asio::ip::address_v4::loopback(), port });
    auto ignored = boost::system::error_code();
    boost::asio::write(*socket, boost::asio::buffer(bytes), ignored);
    return socket;
}

/// Discards received data. Returns whether the other side closed the connection.
auto isClosed(boost::asio::ip::tcp::socket &socket) -> bool
{
    auto buffer = std::array<char, 64>();
    auto failure = boost::system::error_code();
    socket.non_blocking(true);
    while (!failure) {
        socket.read_some(boost::asio::buffer(buffer), failure);
    }
    return failure != boost::asio::error::would_block;
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_links_test)

BOOST_AUTO_TEST_CASE(two_routers_connect_and_messages_arrive_in_order)
{
    auto routers = two_routers();
    routers.start();
    BOOST_TEST(routers.runUntil([&] { return routers.knowEachOther(); }));
    auto expected = std::vector<std::uint64_t>();
    for (auto serial = std::uint64_t(1); serial <= 1'000; ++serial) {
        BOOST_TEST(routers.send(serial));
        expected.push_back(serial);
    }
    BOOST_TEST(routers.runUntil([&] { return routers.received.size() >= expected.size(); }));
    BOOST_TEST(routers.received == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(an_unresponsive_connection_reconnects_without_losing_messages)
{
    auto routers = two_routers(true);
    auto &relay = *routers.relay;
    routers.start();
    relay.setTarget(routers.second.listenAddress());
    BOOST_TEST(routers.runUntil([&] { return routers.knowEachOther(); }));
    BOOST_TEST(routers.send(1));
    BOOST_TEST(routers.runUntil([&] { return routers.received.size() == 1; }));
    relay.freezeConnections();
    const auto before = relay.accepted();
    BOOST_TEST(routers.send(2));
    BOOST_TEST(routers.runUntil([&] { return routers.received.size() == 2; }));
    BOOST_TEST(relay.accepted() > before);
    BOOST_TEST(routers.received.back() == 2U);
    BOOST_TEST(routers.runUntil([&] { return routers.knowEachOther(); }));
}

BOOST_AUTO_TEST_CASE(invalid_data_on_the_peer_port_is_counted_and_ignored)
{
    auto routers = two_routers();
    routers.start();
    BOOST_TEST(routers.runUntil([&] { return routers.knowEachOther(); }));
    const auto port = routers.second.self().peerAddress;
    // nng does not count some failed handshakes that arrive while it accepts another connection, so only one of several
    // must be counted.
    auto invalidConnections = std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>>();
    const auto isCounted = [&] {
        invalidConnections.push_back(writeRaw(routers.context, port, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"));
        return routers.second.rejectedConnections() > 0;
    };
    BOOST_TEST(routers.runUntil(isCounted));
    BOOST_TEST(routers.runUntil([&] { return isClosed(*invalidConnections.front()); }));
    // The handshake of a push socket, then the header of a message of one gigabyte.
    const auto huge = writeRaw(routers.context, port,
                               std::string("\0SP\0\0\x50\0\0", 8) + std::string("\0\0\0\0\x40\0\0\0", 8) + "x");
    // The handshake, then a short message that is not an envelope.
    const auto noise =
        writeRaw(routers.context, port,
                 std::string("\0SP\0\0\x50\0\0", 8) + std::string("\0\0\0\0\0\0\0\x04", 8) + "\xff\xff\xff\xff");
    auto &malformed = routers.counters.at("marjoramloom_peer_dropped_envelopes_total", "reason=\"malformed\"");
    BOOST_TEST(routers.runUntil([&] { return malformed.value() > 0; }));
    BOOST_TEST(routers.runUntil([&] { return isClosed(*huge); }));
    BOOST_TEST(routers.send(1));
    BOOST_TEST(routers.runUntil([&] { return !routers.received.empty(); }));
    BOOST_TEST(routers.knowEachOther());
}

BOOST_AUTO_TEST_SUITE_END()
