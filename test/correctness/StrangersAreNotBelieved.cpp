/// Without a key of the mesh nobody is heard by its nodes, and no node is misled into speaking.
#include "support/Check.h"
#include "support/Loopback.h"

#include "wire/Wire.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

constexpr char kKey[] = "the key of this mesh";
constexpr char kOldKey[] = "the key of last year";

class Counter : public LinkHandler
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
  Peer(Loop& aLoop, int aHost, std::vector<std::string> aKeys)
    : at(LoopbackOf(aHost))
    , links(aLoop, at, Hello{ fmt::format("node-{}", aHost), at }, SharedKeys(aKeys), 7)
    , datagrams(aLoop, at, SharedKeys(aKeys))
  {
    links.AddHandler(counter);
    datagrams.AddHandler([this](const Endpoint&, const Datagram&) { ++heard; });
    cr_assert(links.Start().ok());
    cr_assert(datagrams.Start().ok());
  }

  /// Sends a message of each kind.
  void SpeakTo(const Peer& aOther)
  {
    links.Send(links.Open(aOther.at, Lane::Control), PullEntries{ 1 });
    datagrams.Send(aOther.at, VersionReport{ "node-9", 9 });
  }

  Endpoint at;
  Counter counter;
  WebsocketLinks links;
  UdpDatagrams datagrams;
  int heard = 0;
};

/// Whether the second peer hears the first. Deaf ears are judged once a friend, who spoke later,
/// has been heard.
bool Hears(std::vector<std::string> aSpeakersKeys, std::vector<std::string> aListenersKeys)
{
  Loop loop;
  Peer listener(loop, 1, aListenersKeys);
  Peer speaker(loop, 2, aSpeakersKeys);
  Peer friendOfListener(loop, 3, aListenersKeys);
  speaker.SpeakTo(listener);
  bool isSettled =
    RunUntil(loop, [&] { return speaker.counter.closed == 1 || listener.counter.messages == 2; });
  cr_assert(isSettled);
  friendOfListener.SpeakTo(listener);
  int fromSpeaker = listener.counter.messages;
  cr_assert(RunUntil(
    loop, [&] { return listener.counter.messages == fromSpeaker + 2 && listener.heard > 0; }));
  bool areBothHeard = fromSpeaker == 2 && listener.heard == 2;
  bool isNeitherHeard = fromSpeaker == 0 && listener.heard == 1;
  cr_assert(
    areBothHeard || isNeitherHeard, "%d messages, %d datagrams", fromSpeaker, listener.heard);
  return areBothHeard;
}

} // namespace

Test(strangers, are_not_heard_without_the_key)
{
  cr_assert(Hears({ kKey }, { kKey }));
  cr_assert(!Hears({ kOldKey }, { kKey }));
  cr_assert(!Hears({}, { kKey }));
  cr_assert(Hears({}, {}));
}

Test(strangers, are_told_from_friends_while_a_key_is_replaced)
{
  cr_assert(Hears({ kOldKey }, { kOldKey, kKey }));
  cr_assert(Hears({ kOldKey, kKey }, { kKey, kOldKey }));
  cr_assert(Hears({ kKey, kOldKey }, { kOldKey, kKey }));
  cr_assert(!Hears({ kOldKey }, { kKey }));
}

Test(strangers, that_listen_are_told_nothing)
{
  Loop loop;
  Peer speaker(loop, 1, { kKey });
  Peer stranger(loop, 2, {});
  speaker.links.Send(speaker.links.Open(stranger.at, Lane::Control), PullEntries{ 1 });
  cr_assert(RunUntil(loop, [&] { return speaker.counter.unsent == 1; }));
  cr_assert_eq(stranger.counter.messages, 0);
}

Test(strangers, cannot_use_a_signature_for_another_purpose)
{
  SharedKeys keys({ kKey });
  std::string signature = keys.Sign(SignaturePurpose::Datagram, "bytes");
  cr_assert(keys.IsSigned(SignaturePurpose::Datagram, "bytes", signature));
  cr_assert(!keys.IsSigned(SignaturePurpose::OperatorRequest, "bytes", signature));
  cr_assert(!keys.IsSigned(SignaturePurpose::Datagram, "other", signature));
  cr_assert(!keys.IsSigned(SignaturePurpose::Datagram, "bytes", signature.substr(1)));
}
