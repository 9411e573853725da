/// Guards against LOST: a machine kept what untrusted clients sent, or what they did not read, ran
/// out of memory or descriptors, and the requests of its other clients ended with it.
///
/// Load: crowds of 16 to 400 connections that send up to 180 MB together to one node of two. The
/// node's machine has 96 MiB and 256 descriptors; requests have at most 8 MiB of body and 32 KiB of
/// head (the limits without a configuration of the platform). The crowds and the bounds were fixed
/// before the account of held bytes was written.
#include "support/Check.h"
#include "support/Cluster.h"
#include "support/RawClients.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

constexpr size_t kMiB = 1024 * 1024;
constexpr size_t kMemoryMb = 96;
constexpr size_t kMaxFds = 256;
constexpr size_t kLargeBodyBytes = 7 * kMiB + kMiB / 2;
/// Bound of what a client over the limits sends.
constexpr size_t kOverLimitBytes = 16 * kMiB;
/// Time for the crowd to send what the node takes. What it does not take stays unsent.
constexpr Duration kCrowdTime = seconds(6);
/// Time for the node to receive and answer what the crowd has sent.
constexpr Duration kSettleTime = seconds(2);
/// Shadow memory, red zones and freed memory that the address sanitizer keeps.
#ifdef __SANITIZE_ADDRESS__
constexpr size_t kMemoryFactor = 8;
#else
constexpr size_t kMemoryFactor = 1;
#endif

ClusterShape Shape()
{
  ClusterShape shape{ 2 };
  shape.services = 1;
  shape.upstreamSlots = 64;
  shape.extraSettings =
    fmt::format(R"({{"machine": {{"memory_mb": {}, "max_fds": {}}}}})", kMemoryMb, kMaxFds);
  return shape;
}

std::string Post(const std::string& aHeaders)
{
  return "POST /s0/x HTTP/1.1\r\nHost: test\r\n" + aHeaders + "\r\n";
}

std::string PostOfLength(size_t aBytes)
{
  return Post(fmt::format("Content-Length: {}\r\n", aBytes));
}

std::string Chunk(size_t aBytes)
{
  return fmt::format("{:x}\r\n{}\r\n", aBytes, std::string(aBytes, 'x'));
}

/// Adds bodies of permitted size: most stop one byte short of their end.
void AddLargeBodies(RawClients& aClients, const Endpoint& aServer, size_t aPieceBytes)
{
  RawRequest request{ PostOfLength(kLargeBodyBytes) };
  request.pieceBytes = aPieceBytes;
  request.repeatedBytes = kLargeBodyBytes - 1;
  aClients.Add(aServer, request, 20);
  request.repeatedBytes = kLargeBodyBytes;
  aClients.Add(aServer, request, 4);
}

/// Lets the crowd send, then checks the processes while the crowd stays connected, and an ordinary
/// request.
void CheckWithCrowd(Cluster& aCluster, RawClients& aClients)
{
  aCluster.WaitUntil([&] { return aClients.Pump(); }, kCrowdTime);
  aCluster.Wait(kSettleTime);
  bool isAnswered =
    aCluster.WaitUntil([&] { return aCluster.Call(0, "GET", "/s0/x").outcome == "ran"; });
  for (int i = 0; i < aCluster.Size(); ++i) {
    ProcessUse use = UseOf(aCluster.PidOf(i));
    fmt::print(stderr,
               "node {}: peak {} MiB, resident {} MiB, {} descriptors; the crowd wrote {} MiB\n",
               i,
               use.peakResidentBytes / kMiB,
               use.residentBytes / kMiB,
               use.descriptors,
               aClients.BytesWritten() / kMiB);
    cr_expect_not(aCluster.ExitCode(i).has_value(), "node %d has ended", i);
    cr_expect_leq(use.peakResidentBytes, kMemoryMb * kMiB * kMemoryFactor);
    cr_expect_leq(use.descriptors, kMaxFds);
  }
  cr_expect(isAnswered, "no ordinary request was answered");
}

} // namespace

Test(untrusted_clients, large_bodies_that_stop_short_leave_the_node_within_its_memory)
{
  Cluster cluster(Shape());
  cr_assert(cluster.StartWithFirstNote());
  RawClients clients;
  AddLargeBodies(clients, cluster.FrontOf(0), kMiB);
  CheckWithCrowd(cluster, clients);
}

Test(untrusted_clients, large_bodies_in_pieces_leave_the_node_within_its_memory)
{
  Cluster cluster(Shape());
  cr_assert(cluster.StartWithFirstNote());
  RawClients clients;
  AddLargeBodies(clients, cluster.FrontOf(0), 1400);
  CheckWithCrowd(cluster, clients);
}

Test(untrusted_clients, chunked_bodies_leave_the_node_within_its_memory)
{
  Cluster cluster(Shape());
  cr_assert(cluster.StartWithFirstNote());
  RawClients clients;
  RawRequest request{ Post("Transfer-Encoding: chunked\r\n"), Chunk(64 * 1024), kLargeBodyBytes };
  clients.Add(cluster.FrontOf(0), request, 20);
  request.repeated = Chunk(1);
  clients.Add(cluster.FrontOf(0), request, 20);
  CheckWithCrowd(cluster, clients);
}

Test(untrusted_clients, bodies_over_the_limit_leave_the_node_within_its_memory)
{
  Cluster cluster(Shape());
  cr_assert(cluster.StartWithFirstNote());
  RawClients clients;
  RawRequest request{ PostOfLength(1024 * kMiB), "x", kOverLimitBytes };
  clients.Add(cluster.FrontOf(0), request, 16);
  request.head = Post("Transfer-Encoding: chunked\r\n");
  request.repeated = Chunk(64 * 1024);
  clients.Add(cluster.FrontOf(0), request, 16);
  request.head = Post("");
  request.repeated = "x";
  clients.Add(cluster.FrontOf(0), request, 16);
  CheckWithCrowd(cluster, clients);
}

Test(untrusted_clients, heads_without_end_leave_the_node_within_its_memory)
{
  Cluster cluster(Shape());
  cr_assert(cluster.StartWithFirstNote());
  RawClients clients;
  std::string begin = "GET /s0/x HTTP/1.1\r\n";
  std::string chunked = Post("Transfer-Encoding: chunked\r\n");
  clients.Add(cluster.FrontOf(0), { begin + "X-Endless: ", "x", kMiB }, 20);
  clients.Add(cluster.FrontOf(0), { "GET /s0/", "x", kMiB }, 20);
  clients.Add(cluster.FrontOf(0), { chunked + "1;", "x=y;", kMiB }, 20);
  clients.Add(cluster.FrontOf(0), { chunked + "0\r\n", "X: y\r\n", kMiB }, 20);
  // Short of every limit of bytes, so that the node keeps them.
  clients.Add(cluster.FrontOf(0), { begin, "a:\r\n", 75 * 1024 }, 100);
  CheckWithCrowd(cluster, clients);
}

Test(untrusted_clients, responses_that_nobody_reads_leave_the_node_within_its_memory)
{
  Cluster cluster(Shape());
  cr_assert(cluster.StartWithFirstNote());
  RawClients clients;
  std::string get = "GET /s0/x HTTP/1.1\r\nHost: test\r\nx-answer-bytes: 4000000\r\n\r\n";
  RawRequest request{ get };
  request.reads = false;
  clients.Add(cluster.FrontOf(0), request, 20);
  // Several requests on each connection.
  request.head = get + get + get + get + get;
  clients.Add(cluster.FrontOf(0), request, 6);
  CheckWithCrowd(cluster, clients);
}

Test(untrusted_clients, connections_that_only_stay_open_leave_descriptors)
{
  Cluster cluster(Shape());
  cr_assert(cluster.StartWithFirstNote());
  RawClients clients;
  clients.Add(cluster.FrontOf(0), {}, 400);
  CheckWithCrowd(cluster, clients);
}

Test(untrusted_clients, requests_behind_a_stalled_one_leave_the_node_within_its_memory)
{
  Cluster cluster(Shape());
  cr_assert(cluster.StartWithFirstNote());
  RawClients clients;
  std::string slow = "GET /s0/x HTTP/1.1\r\nHost: test\r\nx-work-ms: 60000\r\n\r\n";
  RawRequest request{ slow + PostOfLength(kLargeBodyBytes), "x", kLargeBodyBytes - 1 };
  clients.Add(cluster.FrontOf(0), request, 24);
  std::string get = "GET /s0/x HTTP/1.1\r\nHost: test\r\n\r\n";
  clients.Add(cluster.FrontOf(0), { PostOfLength(get.size()) + "x", get, 4 * kMiB }, 24);
  CheckWithCrowd(cluster, clients);
}

Test(untrusted_clients, large_bodies_at_the_operators_port_leave_the_node_within_its_memory)
{
  Cluster cluster(Shape());
  cr_assert(cluster.StartWithFirstNote());
  RawClients clients;
  AddLargeBodies(clients, cluster.OperatorEndpointOf(0), kMiB);
  CheckWithCrowd(cluster, clients);
}

Test(untrusted_clients, frames_without_end_at_the_links_port_leave_the_node_within_its_memory)
{
  Cluster cluster(Shape());
  cr_assert(cluster.StartWithFirstNote());
  RawClients clients;
  std::string upgrade = "GET /link HTTP/1.1\r\nHost: test\r\nUpgrade: websocket\r\n"
                        "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                        "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
  // A masked binary frame that announces 20 MiB.
  std::string frame("\x82\xff\0\0\0\0\x01\x40\0\0abcd", 14);
  Endpoint peers{ cluster.FrontOf(0).ip, 7002 };
  clients.Add(peers, { upgrade + frame, "x", 12 * kMiB }, 12);
  clients.Add(peers, { "GET /link HTTP/1.1\r\nX-Endless: ", "x", kMiB }, 12);
  CheckWithCrowd(cluster, clients);
}
