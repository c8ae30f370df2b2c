#include "crowd.h"
#include "support/gateway_fleet.h"
#include "support/scripted_server.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>

using namespace marjoramloom::test;

namespace {

/// Setting memory_mb of the router. What a crowd sends does not fit into it.
constexpr auto memoryMb = 48;
/// Setting descriptors of the router.
constexpr auto descriptors = 256;
constexpr auto bodyBytes = 500'000;
/// Clients that send bodies: together almost twice the memory of the router.
constexpr auto bodyClients = 160;
constexpr auto slowHeadClients = 160;
constexpr auto silentClients = 400;
/// Clients that read no answer, and the size of an answer, which is more than the buffers of a connection take.
constexpr auto nonReaders = 48;
constexpr auto answerBytes = 6'000'000;
/// Clients of each kind if all kinds come at once.
constexpr auto clientsOfEachKind = 40;

auto requestStart(const std::string &length) -> std::string
{
    return "POST /post/x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-alpha\r\nX-Attempt-Id: crowd\r\n"
        + length + "\r\n\r\n";
}

auto withLength(int bytes) -> std::string
{
    return requestStart("Content-Length: " + std::to_string(bytes));
}

auto chunkedStart() -> std::string
{
    return requestStart("Transfer-Encoding: chunked");
}

/// Chunks of \p size bytes of content each, \p count times.
auto chunks(std::size_t size, int count) -> std::string
{
    auto head = std::array<char, 16>{};
    std::snprintf(head.data(), head.size(), "%zx\r\n", size);
    const auto chunk = head.data() + std::string(size, 'a') + "\r\n";
    auto text = std::string();
    for (auto index = 0; index < count; ++index) {
        text += chunk;
    }
    return text;
}

auto answerTo(const std::string &id) -> scripted_answer
{
    const auto body = id.starts_with("large") ? std::string(answerBytes, 'a') : std::string("ok");
    return { "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id
             + "\r\nX-Response-Seal: seal\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body };
}

auto openDescriptors(pid_t process) -> std::ptrdiff_t
{
    const auto folder = "/proc/" + std::to_string(process) + "/fd";
    return std::distance(std::filesystem::directory_iterator(folder), std::filesystem::directory_iterator());
}

/// One router with low limits before one server.
class limited_router
{
public:
    limited_router()
        : m_server(answerTo)
        , m_fleet(plan())
        , m_crowd(router().callers)
    {
        BOOST_TEST_REQUIRE(servesRequest());
        BOOST_TEST_MESSAGE("memory before, KB: " << router().process->peakMemoryKb());
    }

    auto clients() -> crowd &
    {
        return m_crowd;
    }

    /// Runs the crowd and checks what must hold afterwards.
    auto check() -> void
    {
        m_crowd.run();
        BOOST_TEST_REQUIRE(router().process->running());
        const auto open = openDescriptors(router().process->id());
        constexpr auto answerTimeMs = 30'000;
        BOOST_TEST(waitUntil(answerTimeMs, [this] { return servesRequest(); }));
        BOOST_TEST_REQUIRE(router().process->running());
        const auto peakKb = router().process->peakMemoryKb();
        BOOST_TEST_MESSAGE("peak memory, KB: " << peakKb << "; descriptors: " << open);
        BOOST_TEST(peakKb <= memoryMb * 1'024L);
        BOOST_TEST(open <= descriptors);
    }

private:
    auto plan() -> gateway_plan
    {
        auto limits = gateway_plan();
        limits.routers = 1;
        limits.servers = 1;
        limits.bodyBytes = bodyBytes;
        limits.headerTimeoutMs = 10'000;
        limits.memoryMb = memoryMb;
        limits.descriptors = descriptors;
        limits.listedServerAddress = [this](const std::string &) {
            return m_server.address();
        };
        return limits;
    }

    auto router() -> router_handle &
    {
        return m_fleet.routers().front();
    }

    auto servesRequest() -> bool
    {
        return m_fleet.call(router(), "/read/x", "ordinary-" + std::to_string(++m_requests)).status == 200;
    }

    scripted_server m_server;
    gateway_fleet m_fleet;
    crowd m_crowd;
    int m_requests = 0;
};

constexpr auto blockBytes = std::size_t(50'000);
constexpr auto blocksBelowLimit = 9;
constexpr auto smallChunks = 1'000;

auto addAnnouncedOverLimit(crowd &clients, int count) -> void
{
    clients.addSenders(count, withLength(bodyBytes + 1), std::string(blockBytes, 'a'), blocksBelowLimit);
}

auto addSentOverLimit(crowd &clients, int count) -> void
{
    clients.addSenders(count, chunkedStart(), chunks(blockBytes, 1), 2 * blocksBelowLimit);
}

auto addUnfinishedChunks(crowd &clients, int count) -> void
{
    clients.addSenders(count, chunkedStart(), chunks(blockBytes, 1), blocksBelowLimit);
}

auto addUnfinishedSmallChunks(crowd &clients, int count) -> void
{
    clients.addSenders(count, chunkedStart(), chunks(1, smallChunks), bodyBytes / smallChunks - 1);
}

auto addUnfinishedBodies(crowd &clients, int count) -> void
{
    clients.addSenders(count, withLength(blocksBelowLimit * int(blockBytes) + 1), std::string(blockBytes, 'a'),
                       blocksBelowLimit);
}

auto addSlowHeads(crowd &clients, int count) -> void
{
    clients.addSlowSenders(count, "GET /read/x HTTP/1.1\r\nX-Filler: " + std::string(300, 'a'));
}

} // namespace

// Clients outside anybody's control must not end a router, fill its memory or use up its descriptors.
BOOST_AUTO_TEST_SUITE(crowd_test)

BOOST_AUTO_TEST_CASE(bodies_announced_over_the_limit)
{
    auto router = limited_router();
    addAnnouncedOverLimit(router.clients(), bodyClients);
    router.check();
}

BOOST_AUTO_TEST_CASE(bodies_sent_over_the_limit)
{
    auto router = limited_router();
    addSentOverLimit(router.clients(), bodyClients);
    router.check();
}

BOOST_AUTO_TEST_CASE(unfinished_bodies_in_large_chunks)
{
    auto router = limited_router();
    addUnfinishedChunks(router.clients(), bodyClients);
    router.check();
}

BOOST_AUTO_TEST_CASE(unfinished_bodies_in_very_small_chunks)
{
    auto router = limited_router();
    addUnfinishedSmallChunks(router.clients(), bodyClients);
    router.check();
}

BOOST_AUTO_TEST_CASE(bodies_with_a_length_stopped_short_of_it)
{
    auto router = limited_router();
    addUnfinishedBodies(router.clients(), bodyClients);
    router.check();
}

BOOST_AUTO_TEST_CASE(heads_sent_very_slowly)
{
    auto router = limited_router();
    addSlowHeads(router.clients(), slowHeadClients);
    router.check();
}

BOOST_AUTO_TEST_CASE(connections_without_a_request)
{
    auto router = limited_router();
    router.clients().addSilent(silentClients);
    router.check();
}

BOOST_AUTO_TEST_CASE(answers_that_nobody_reads)
{
    auto router = limited_router();
    router.clients().addNonReaders(nonReaders, "large-");
    router.check();
}

BOOST_AUTO_TEST_CASE(all_at_once)
{
    auto router = limited_router();
    auto &clients = router.clients();
    addAnnouncedOverLimit(clients, clientsOfEachKind);
    addSentOverLimit(clients, clientsOfEachKind);
    addUnfinishedChunks(clients, clientsOfEachKind);
    addUnfinishedSmallChunks(clients, clientsOfEachKind);
    addUnfinishedBodies(clients, clientsOfEachKind);
    addSlowHeads(clients, clientsOfEachKind);
    clients.addSilent(clientsOfEachKind);
    clients.addNonReaders(clientsOfEachKind, "large-");
    router.check();
}

BOOST_AUTO_TEST_SUITE_END()
