/// Guards against calls that reach an upstream long after its leaving was acknowledged: they waited
/// for a connection that the upstream had not accepted yet.
#include "support/Check.h"
#include "support/Loopback.h"
#include "support/ScriptedUpstream.h"

#include "platform/Platform.h"

#include <sys/socket.h>
#include <unistd.h>

using namespace dandelion;
using namespace dandelion::testing;

namespace {

/// A listening socket whose queue of new connections is full.
class FullListener
{
public:
  explicit FullListener(const Endpoint& aListen)
  {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = ToSocketAddress(aListen);
    cr_assert_eq(bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    cr_assert_eq(listen(listener_, 0), 0);
    constexpr int kConnections = 4;
    for (int i = 0; i < kConnections; ++i) {
      int client = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect(client, reinterpret_cast<sockaddr*>(&address), sizeof(address));
      clients_.push_back(client);
    }
  }
  ~FullListener()
  {
    close(listener_);
    for (int client : clients_) {
      close(client);
    }
  }

private:
  int listener_ = -1;
  std::vector<int> clients_;
};

OpenCall MakeCall(const std::string& aRequestId)
{
  OpenCall call;
  call.method = "POST";
  call.target = "/";
  call.requestId = aRequestId;
  call.deadlineMs = 20000;
  return call;
}

} // namespace

Test(calls_of_a_leaving_upstream, are_taken_back_while_their_connection_is_opened)
{
  Loop loop;
  FullListener server(LoopbackOf(1));
  HttpUpstream upstream(loop, LoopbackOf(1), platform::MakeCallHeaderNames());
  constexpr int kCalls = 5;
  std::vector<UpstreamResult> results;
  for (int i = 0; i < kCalls; ++i) {
    upstream.Send(MakeCall(std::to_string(i)),
                  [&](const UpstreamResult& aResult) { results.push_back(aResult); });
  }
  RunFor(loop, milliseconds(50));
  cr_assert(results.empty());
  upstream.WithdrawUnsent();
  cr_assert_eq(results.size(), kCalls);
  for (const UpstreamResult& result : results) {
    cr_assert(result.outcome == CallOutcome::NotRun);
    cr_assert_not(result.hasReachedUpstream);
  }
}

/// A call that was written may run; only its answer tells.
Test(calls_of_a_leaving_upstream, are_finished_if_they_were_sent)
{
  Loop loop;
  int requests = 0;
  ScriptedUpstream server(loop, LoopbackOf(1), [&](int, int) {
    ++requests;
    return "";
  });
  HttpUpstream upstream(loop, LoopbackOf(1), platform::MakeCallHeaderNames());
  std::optional<UpstreamResult> result;
  upstream.Send(MakeCall("id-1"), [&](const UpstreamResult& aResult) { result = aResult; });
  cr_assert(RunUntil(loop, [&] { return requests == 1; }));
  upstream.WithdrawUnsent();
  cr_assert_not(result.has_value());
}
