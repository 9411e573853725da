/// A link whose connection falls silent or is reset continues over another connection. Guards
/// against calls between nodes that wait for a time-out, or end with an unknown outcome, although
/// both nodes run and a new connection between them works.
#include "support/Check.h"
#include "support/Loopback.h"

#include "LinkStandin.h"
#include "wire/Wire.h"

#include <random>

using namespace dandelion;
using namespace dandelion::testing;

namespace {

/// Records the calls that it receives, and answers each.
class Answerer : public LinkHandler
{
public:
  explicit Answerer(WebsocketLinks& aLinks)
    : links_(aLinks)
  {
    links_.AddHandler(*this);
  }
  void OnLinkMessage(LinkId aLink, const LinkMessage& aMessage) override
  {
    if (const auto* call = std::get_if<OpenCall>(&aMessage)) {
      calls.push_back(call->id);
      link = aLink;
    }
  }
  void Answer(uint64_t aId, size_t aBytes = 0)
  {
    CallReply reply;
    reply.id = aId;
    reply.body.data = std::string(aBytes, 'x');
    links_.Send(link, reply);
  }
  void OnLinkClosed(LinkId, const std::vector<LinkMessage>&) override { ++closed; }
  std::vector<uint64_t> calls;
  LinkId link = 0;
  int closed = 0;

private:
  WebsocketLinks& links_;
};

/// Records the answers that it receives.
class Caller : public LinkHandler
{
public:
  void OnLinkMessage(LinkId, const LinkMessage& aMessage) override
  {
    if (const auto* reply = std::get_if<CallReply>(&aMessage)) {
      answers.push_back(reply->id);
      bytes += reply->body.data.size();
    }
  }
  void OnLinkClosed(LinkId, const std::vector<LinkMessage>&) override { ++closed; }
  std::vector<uint64_t> answers;
  size_t bytes = 0;
  int closed = 0;
};

/// Two nodes with a network path between them that can fall silent or be cut.
struct Mesh
{
  Mesh()
  {
    caller.AddHandler(received);
    cr_assert(caller.Start().ok());
    cr_assert(path.Start().ok());
  }
  static std::unique_ptr<WebsocketLinks> MakeServer(Loop& aLoop)
  {
    auto links = std::make_unique<WebsocketLinks>(
      aLoop, LoopbackOf(1), Hello{ "server", LoopbackOf(1) }, SharedKeys(), 1);
    cr_assert(links->Start().ok());
    return links;
  }
  LinkTraits Traits() const
  {
    LinkTraits traits;
    traits.control = LoopbackOf(9);
    traits.delayMs = 1;
    traits.mappings = { LinkMapping{ LoopbackOf(3), LoopbackOf(1), "there" } };
    return traits;
  }
  void Call(uint64_t aId)
  {
    OpenCall call;
    call.id = aId;
    LinkId link = caller.Open(LoopbackOf(3), Lane::Short);
    caller.AwaitAnswer(link);
    caller.Send(link, call);
  }
  void SilenceOpenConnections()
  {
    LinkFaults faults;
    faults.stallsOpenConnections = true;
    path.SetFaults(faults);
  }

  Loop loop;
  std::unique_ptr<WebsocketLinks> server = MakeServer(loop);
  WebsocketLinks caller{ loop, LoopbackOf(2), Hello{ "caller", LoopbackOf(2) }, SharedKeys(), 2 };
  LinkStandin path{ loop, Traits() };
  Answerer answerer{ *server };
  Caller received;
};

using Ids = std::vector<uint64_t>;

} // namespace

Test(silent_links, call_sent_into_silence_arrives_once)
{
  Mesh mesh;
  mesh.Call(1);
  cr_assert(RunUntil(mesh.loop, [&] { return mesh.answerer.calls.size() == 1; }));
  mesh.SilenceOpenConnections();
  mesh.Call(2);
  cr_assert(RunUntil(mesh.loop, [&] { return mesh.answerer.calls.size() == 2; }));
  mesh.answerer.Answer(1);
  mesh.answerer.Answer(2);
  cr_assert(RunUntil(mesh.loop, [&] { return mesh.received.answers.size() == 2; }));
  cr_assert(mesh.answerer.calls == Ids({ 1, 2 }));
  cr_assert(mesh.received.answers == Ids({ 1, 2 }));
  cr_assert_eq(mesh.received.closed, 0);
}

Test(silent_links, answer_sent_into_silence_arrives_once)
{
  Mesh mesh;
  mesh.Call(1);
  cr_assert(RunUntil(mesh.loop, [&] { return mesh.answerer.calls.size() == 1; }));
  mesh.SilenceOpenConnections();
  // The answer is large, so that it travels in many fragments, most of them after the silence.
  constexpr size_t kBytes = 500 * 1000;
  mesh.answerer.Answer(1, kBytes);
  cr_assert(RunUntil(mesh.loop, [&] { return mesh.received.answers.size() == 1; }));
  cr_assert_eq(mesh.received.bytes, kBytes);
  cr_assert_eq(mesh.received.closed, 0);
}

/// Guards against a call that runs twice: messages that wait for the probe of an idle link were
/// sent when the handshake of its next connection arrived, before the peer's count, and once more
/// after it.
Test(silent_links, call_queued_behind_a_probe_arrives_once)
{
  Mesh mesh;
  mesh.Call(1);
  cr_assert(RunUntil(mesh.loop, [&] { return mesh.answerer.calls.size() == 1; }));
  mesh.answerer.Answer(1);
  cr_assert(RunUntil(mesh.loop, [&] { return mesh.received.answers.size() == 1; }));
  LinkId link = mesh.caller.Open(LoopbackOf(3), Lane::Short);
  mesh.caller.AnswerReceived(link);
  // A link that was idle for so long is probed before the next message.
  RunFor(mesh.loop, milliseconds(5100));
  mesh.SilenceOpenConnections();
  mesh.caller.Send(link, CancelCall{ 1 });
  mesh.Call(2);
  cr_assert(RunUntil(mesh.loop, [&] { return mesh.caller.Continuations() == 1; }));
  cr_assert(RunUntil(mesh.loop, [&] { return mesh.answerer.calls.size() >= 2; }));
  RunFor(mesh.loop, milliseconds(100));
  cr_assert(mesh.answerer.calls == Ids({ 1, 2 }));
  mesh.answerer.Answer(2);
  cr_assert(RunUntil(mesh.loop, [&] { return mesh.received.answers.size() == 2; }));
  cr_assert(mesh.received.answers == Ids({ 1, 2 }));
  cr_assert_eq(mesh.received.closed, 0);
}

Test(silent_links, reset_connections_are_continued)
{
  Mesh mesh;
  mesh.Call(1);
  cr_assert(RunUntil(mesh.loop, [&] { return mesh.answerer.calls.size() == 1; }));
  LinkFaults faults;
  faults.isCut = true;
  mesh.path.SetFaults(faults);
  mesh.path.SetFaults(LinkFaults());
  mesh.answerer.Answer(1);
  cr_assert(RunUntil(mesh.loop, [&] { return mesh.received.answers.size() == 1; }));
  cr_assert_eq(mesh.received.closed, 0);
}

/// A restarted process does not know which calls the one before it has received.
Test(silent_links, link_to_a_restarted_node_is_closed)
{
  Mesh mesh;
  mesh.Call(1);
  cr_assert(RunUntil(mesh.loop, [&] { return mesh.answerer.calls.size() == 1; }));
  mesh.server.reset();
  mesh.server = Mesh::MakeServer(mesh.loop);
  mesh.SilenceOpenConnections();
  cr_assert(RunUntil(mesh.loop, [&] { return mesh.received.closed == 1; }));
}

/// A hello on an open link, or one that names its own link, must not end the process.
Test(silent_links, hello_on_an_open_link_closes_it)
{
  Mesh mesh;
  mesh.Call(1);
  cr_assert(RunUntil(mesh.loop, [&] { return mesh.answerer.calls.size() == 1; }));
  Hello hello{ "caller", LoopbackOf(2) };
  // The caller draws the token of its first link from its seed.
  hello.token = std::mt19937_64(2)();
  hello.resumes = true;
  mesh.caller.Send(mesh.caller.Open(LoopbackOf(3), Lane::Short), hello);
  cr_assert(RunUntil(mesh.loop, [&] { return mesh.answerer.closed == 1; }));
}
