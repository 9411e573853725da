/// Guards against "not run" for a call that an upstream runs, because an earlier refusal was
/// written once more on a kept connection.
#include "support/Check.h"
#include "support/Loopback.h"
#include "support/ScriptedUpstream.h"

#include "platform/Platform.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

std::string Refusal(const std::string& aId)
{
  return "HTTP/1.1 503 Service Unavailable\r\nDandelionvale-Not-Executed: 1\r\n"
         "Dandelionvale-Request-Id: " +
         aId + "\r\nContent-Length: 0\r\n\r\n";
}

std::string RefusalWithoutId()
{
  return "HTTP/1.1 503 Service Unavailable\r\nDandelionvale-Not-Executed: 1\r\n"
         "Content-Length: 0\r\n\r\n";
}

std::string Success(const std::string& aId)
{
  return "HTTP/1.1 200 OK\r\nDandelionvale-Server-Signature: x\r\nDandelionvale-Request-Id: " +
         aId + "\r\nContent-Length: 2\r\n\r\nok";
}

struct Caller
{
  explicit Caller(ScriptedUpstream::Script aScript)
    : server(loop, LoopbackOf(1), std::move(aScript))
  {
  }

  CallOutcome Call(const std::string& aId)
  {
    OpenCall call;
    call.method = "POST";
    call.target = "/";
    call.requestId = aId;
    call.deadlineMs = 20000;
    std::optional<UpstreamResult> result;
    upstream.Send(call, [&](const UpstreamResult& aResult) { result = aResult; });
    cr_assert(RunUntil(loop, [&] { return result.has_value(); }));
    return result->outcome;
  }

  Loop loop;
  ScriptedUpstream server;
  HttpUpstream upstream{ loop, LoopbackOf(1), platform::MakeCallHeaderNames() };
};

} // namespace

/// The next attempt of a refused call has the same id, so the repeated refusal looks like its
/// answer.
Test(repeated_refusals, next_attempt_of_refused_call_uses_another_connection)
{
  Caller caller([](int aConnection, int /* aRequest */) {
    return aConnection == 0 ? Refusal("id-1") : Success("id-1");
  });
  cr_assert_eq(caller.Call("id-1"), CallOutcome::NotRun);
  cr_assert_eq(caller.Call("id-1"), CallOutcome::Ran);
}

Test(repeated_refusals, refusal_of_an_earlier_call_is_not_taken_for_the_next_one)
{
  Caller caller([](int /* aConnection */, int aRequest) {
    return aRequest == 0 ? Refusal("id-1") : Refusal("id-1") + Success("id-2");
  });
  cr_assert_eq(caller.Call("id-1"), CallOutcome::NotRun);
  cr_assert_eq(caller.Call("id-2"), CallOutcome::Ran);
}

/// A copy of an earlier failure that names no call must not become the answer to the next one.
Test(repeated_refusals, failure_without_an_id_is_no_answer_on_a_kept_connection)
{
  const std::string kFailure = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
  Caller caller([&](int /* aConnection */, int aRequest) {
    return aRequest == 0 ? kFailure : kFailure + Success("id-2");
  });
  cr_assert_eq(caller.Call("id-1"), CallOutcome::Ran);
  cr_assert_eq(caller.Call("id-2"), CallOutcome::Unknown);
}

/// A refusal that names no call may be the repeated one of an earlier call.
Test(repeated_refusals, refusal_without_an_id_promises_nothing_on_a_kept_connection)
{
  Caller caller([](int /* aConnection */, int aRequest) {
    return aRequest == 0 ? RefusalWithoutId() : RefusalWithoutId() + Success("id-2");
  });
  cr_assert_eq(caller.Call("id-1"), CallOutcome::NotRun);
  cr_assert_eq(caller.Call("id-2"), CallOutcome::Unknown);
}
