#include <base/digest.h>
#include <base/random_source.h>
#include <gtest/gtest.h>
#include <peer/peer_node.h>
#include <peer/udp_peer_transport.h>

namespace pollen {

namespace {

constexpr const char* secret = "secret";
constexpr duration heartbeatTimeout = std::chrono::seconds(3);

const bill sampleBill { "b1", request_id("r1"), team_name("t"), class_name("c"), "m/v1", 10, 20, 1.5, 99 };

std::vector<peer_message> sampleMessages()
{
    const instance_id sender("daemon-1");
    return { { sender, 7, heartbeat_message { failure_domain_name("a"), 5, true, 3 } },
        { sender, 7, bill_copy_message { sampleBill } }, { sender, 7, bill_copy_ack_message { "b1" } },
        { sender, 7, bills_settled_message { { "b1", "b2" } } } };
}

listed_peer peer(const std::string& id, const std::string& domain)
{
    return { instance_id(id), failure_domain_name(domain), { "127.0.0.1", 1 } };
}

peer_table::received_heartbeat heartbeatFrom(const std::string& id, uint64_t incarnation, bool draining = false)
{
    return { instance_id(id), incarnation, failure_domain_name("a"), { "127.0.0.1", 1 }, draining, 0 };
}

} // namespace

TEST(PeerMessage, RoundTrips)
{
    for (const peer_message& message : sampleMessages())
        EXPECT_EQ(decodeDatagram(encodeDatagram(message, secret), secret), message);
}

TEST(PeerMessage, RejectsTruncatedModifiedOrForgedDatagrams)
{
    for (const peer_message& message : sampleMessages()) {
        const std::string datagram = encodeDatagram(message, secret);
        EXPECT_THROW(decodeDatagram(datagram, "other"), datagram_error);
        EXPECT_THROW(decodeDatagram(datagram + "x", secret), datagram_error);
        for (size_t i = 0; i < datagram.size(); ++i) {
            EXPECT_THROW(decodeDatagram(datagram.substr(0, i), secret), datagram_error);
            std::string changed = datagram;
            changed[i] = static_cast<char>(changed[i] ^ 1);
            EXPECT_THROW(decodeDatagram(changed, secret), datagram_error);
        }
    }
    EXPECT_THROW(decodeDatagram(std::string(100000, 'x'), secret), datagram_error);
}

// A peer that knows the secret sends malformed messages: valid messages with each byte replaced or cut off in turn, and
// random bytes. The decoder must return a message or throw datagram_error, and must not allocate a claimed length
// unchecked.
TEST(PeerMessage, HandlesMalformedBodiesWithAValidTag)
{
    constexpr size_t tagBytes = 32;
    const auto tagged = [](const std::string& body) { return hmacSha256Hex(secret, body).substr(0, tagBytes) + body; };
    size_t refused = 0;
    const auto tryBody = [&](const std::string& body) {
        try {
            decodeDatagram(tagged(body), secret);
        } catch (const datagram_error&) {
            ++refused;
        }
    };
    for (const peer_message& message : sampleMessages()) {
        const std::string body = encodeDatagram(message, secret).substr(tagBytes);
        for (size_t i = 0; i < body.size(); ++i) {
            std::string changed = body;
            changed[i] = static_cast<char>(0xff);
            tryBody(changed);
            tryBody(body.substr(0, i));
        }
    }
    random_source random(5);
    for (int i = 0; i < 5000; ++i) {
        std::string noise(random() % 200, '\0');
        for (char& byte : noise)
            byte = static_cast<char>(random());
        tryBody(noise);
    }
    EXPECT_GT(refused, 4000U);
}

TEST(PeerMessage, RejectsOverlongTextWhenEncoding)
{
    bill big = sampleBill;
    big.id = std::string(1000, 'x');
    EXPECT_THROW(encodeDatagram({ instance_id("a"), 1, bill_copy_message { big } }, secret), datagram_error);
}

TEST(PeerTable, LivenessFollowsHeartbeats)
{
    peer_table table(instance_id("self"), heartbeatTimeout);
    const time_point start {};
    table.replaceListed({ peer("self", "a"), peer("b", "a") });
    EXPECT_EQ(table.rows().size(), 1U);
    EXPECT_FALSE(table.isAlive(instance_id("b"), start)) << "a listed peer is not alive before its first heartbeat";
    table.applyHeartbeat(heartbeatFrom("b", 5), start);
    EXPECT_TRUE(table.isAlive(instance_id("b"), start + heartbeatTimeout / 2));
    EXPECT_FALSE(table.isAlive(instance_id("b"), start + heartbeatTimeout));
    table.applyHeartbeat(heartbeatFrom("b", 5), start + heartbeatTimeout);
    EXPECT_TRUE(table.isAlive(instance_id("b"), start + heartbeatTimeout)) << "a paused peer has resumed";
}

TEST(PeerTable, DistinguishesAReplacementFromItsPredecessor)
{
    peer_table table(instance_id("self"), heartbeatTimeout);
    const time_point start {};
    table.applyHeartbeat(heartbeatFrom("b", 5), start);
    EXPECT_TRUE(table.applyHeartbeat(heartbeatFrom("b", 6), start));
    EXPECT_FALSE(table.isAlive(instance_id("b"), 5, start));
    EXPECT_FALSE(table.applyHeartbeat(heartbeatFrom("b", 5), start))
        << "a heartbeat of the replaced process is ignored";
    EXPECT_TRUE(table.isAlive(instance_id("b"), 6, start));
}

TEST(PeerTable, ReplicaCandidatesPreferOtherDomainsAndExcludeDrainingPeers)
{
    peer_table table(instance_id("self"), heartbeatTimeout);
    const time_point start {};
    table.applyHeartbeat({ instance_id("near"), 1, failure_domain_name("a"), {}, false, 0 }, start);
    table.applyHeartbeat({ instance_id("stopping"), 1, failure_domain_name("b"), {}, true, 0 }, start);
    table.applyHeartbeat({ instance_id("zfar"), 1, failure_domain_name("c"), {}, false, 0 }, start);
    const auto replicaCandidates = table.replicaCandidates(failure_domain_name("a"), start);
    ASSERT_EQ(replicaCandidates.size(), 2U);
    EXPECT_EQ(replicaCandidates[0].id, instance_id("zfar"));
    EXPECT_EQ(replicaCandidates[1].id, instance_id("near"));
    table.sweep(start + heartbeatTimeout);
    EXPECT_TRUE(table.rows().empty()) << "neither listed nor alive";
}

TEST(PeerNode, ExchangesHeartbeatsOverUdpAndCountsDroppedDatagrams)
{
    event_loop loop;
    const os_clock clock;
    random_source random(1);
    null_logger log;
    udp_peer_transport transportA(loop, { "127.0.0.1", 0 });
    udp_peer_transport transportB(loop, { "127.0.0.1", 0 });
    peer_table tableA(instance_id("a"), heartbeatTimeout);
    peer_table tableB(instance_id("b"), heartbeatTimeout);
    peer_node nodeA({ instance_id("a"), failure_domain_name("x"), 1, secret }, transportA, tableA, clock, random, log);
    peer_node nodeB({ instance_id("b"), failure_domain_name("y"), 1, secret }, transportB, tableB, clock, random, log);
    tableA.replaceListed({ { instance_id("b"), failure_domain_name("y"), transportB.address() } });
    transportA.send(transportB.address(), "nonsense");
    nodeA.setStatus({ 42, false, 0 });
    nodeA.sendHeartbeats();
    EXPECT_TRUE(loop.runUntil([&] { return tableB.isAlive(instance_id("a"), clock.now()); }, std::chrono::seconds(10)));
    EXPECT_EQ(tableB.rows().at(instance_id("a")).configurationVersion, 42U);
    EXPECT_EQ(*tableB.addressOf(instance_id("a")), transportA.address());
    EXPECT_EQ(nodeB.droppedDatagrams(), 1U);
}

} // namespace pollen
