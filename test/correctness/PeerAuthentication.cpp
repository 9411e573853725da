/// Nodes accept messages only from peers with a key of the mesh, and send none to other peers.
///
/// Without authentication, any process that reaches a node's port could send it messages or receive
/// its messages by listening on the endpoint of a peer. While a key is replaced, nodes with the old
/// and with the new key must still accept each other.
#include "support/Check.h"
#include "support/Loopback.h"

#include "wire/Wire.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

constexpr char kKey[] = "the key of this mesh";
constexpr char kOldKey[] = "the key of last year";

class MessageCounter : public LinkHandler
{
public:
  void OnLinkMessage(LinkId, const LinkMessage&) override { ++messages; }
  void OnLinkClosed(LinkId, const std::vector<LinkMessage>& aUnsent) override
  {
    ++closed;
    unsent += static_cast<int>(aUnsent.size());
  }
  int messages = 0;
  int closed = 0;
  int unsent = 0;
};

/// One node with a socket for links and one for datagrams.
class Peer
{
public:
  Peer(Loop& aLoop, int aHostNumber, std::vector<std::string> aKeys)
    : endpoint(LoopbackOf(aHostNumber))
    , links(aLoop,
            endpoint,
            Hello{ fmt::format("node-{}", aHostNumber), endpoint },
            SharedKeys(aKeys),
            7)
    , datagrams(aLoop, endpoint, SharedKeys(aKeys))
  {
    links.AddHandler(counter);
    datagrams.AddHandler([this](const Endpoint&, const Datagram&) { ++datagramsReceived; });
    cr_assert(links.Start().ok());
    cr_assert(datagrams.Start().ok());
  }

  /// Sends one message over a link and one datagram.
  void SendTo(const Peer& aOther)
  {
    links.Send(links.Open(aOther.endpoint, Lane::Control), PullEntries{ 1 });
    datagrams.Send(aOther.endpoint, VersionReport{ "node-9", 9 });
  }

  Endpoint endpoint;
  MessageCounter counter;
  WebsocketLinks links;
  UdpDatagrams datagrams;
  int datagramsReceived = 0;
};

/// Whether a receiver accepts the messages of a sender. To tell rejected from late messages, the
/// result is checked after the receiver has accepted later messages of a sender with its own keys.
bool AcceptsMessages(std::vector<std::string> aSenderKeys, std::vector<std::string> aReceiverKeys)
{
  Loop loop;
  Peer receiver(loop, 1, aReceiverKeys);
  Peer sender(loop, 2, aSenderKeys);
  Peer trustedSender(loop, 3, aReceiverKeys);
  sender.SendTo(receiver);
  bool isSettled =
    RunUntil(loop, [&] { return sender.counter.closed == 1 || receiver.counter.messages == 2; });
  cr_assert(isSettled);
  trustedSender.SendTo(receiver);
  int fromSender = receiver.counter.messages;
  cr_assert(RunUntil(loop, [&] {
    return receiver.counter.messages == fromSender + 2 && receiver.datagramsReceived > 0;
  }));
  bool acceptsBoth = fromSender == 2 && receiver.datagramsReceived == 2;
  bool acceptsNeither = fromSender == 0 && receiver.datagramsReceived == 1;
  cr_assert(acceptsBoth || acceptsNeither,
            "%d messages, %d datagrams",
            fromSender,
            receiver.datagramsReceived);
  return acceptsBoth;
}

} // namespace

Test(peer_authentication, rejects_messages_without_the_key)
{
  cr_assert(AcceptsMessages({ kKey }, { kKey }));
  cr_assert(!AcceptsMessages({ kOldKey }, { kKey }));
  cr_assert(!AcceptsMessages({}, { kKey }));
  cr_assert(AcceptsMessages({}, {}));
}

Test(peer_authentication, accepts_both_keys_during_key_rotation)
{
  cr_assert(AcceptsMessages({ kOldKey }, { kOldKey, kKey }));
  cr_assert(AcceptsMessages({ kOldKey, kKey }, { kKey, kOldKey }));
  cr_assert(AcceptsMessages({ kKey, kOldKey }, { kOldKey, kKey }));
  cr_assert(!AcceptsMessages({ kOldKey }, { kKey }));
}

Test(peer_authentication, sends_nothing_to_listener_without_the_key)
{
  Loop loop;
  Peer sender(loop, 1, { kKey });
  Peer unauthenticated(loop, 2, {});
  sender.links.Send(sender.links.Open(unauthenticated.endpoint, Lane::Control), PullEntries{ 1 });
  cr_assert(RunUntil(loop, [&] { return sender.counter.unsent == 1; }));
  cr_assert_eq(unauthenticated.counter.messages, 0);
}

Test(peer_authentication, rejects_signature_for_another_purpose)
{
  SharedKeys keys({ kKey });
  std::string signature = keys.Sign(SignaturePurpose::Datagram, "bytes");
  cr_assert(keys.Verify(SignaturePurpose::Datagram, "bytes", signature));
  cr_assert(!keys.Verify(SignaturePurpose::OperatorRequest, "bytes", signature));
  cr_assert(!keys.Verify(SignaturePurpose::Datagram, "other", signature));
  cr_assert(!keys.Verify(SignaturePurpose::Datagram, "bytes", signature.substr(1)));
}
