/// Simulates an upstream: limited slots, service times, refusal of excess calls, cancellation, and
/// a journal of the calls that it started. It can call a chain of further services on behalf of a
/// call.
#ifndef DANDELION_TOOLS_UPSTREAM_STANDIN_H
#define DANDELION_TOOLS_UPSTREAM_STANDIN_H

#include "wire/Wire.h"

#include <map>
#include <string>
#include <vector>

namespace dandelion {

struct UpstreamTraits
{
  std::string name;
  /// Maximum number of concurrent calls; further calls are refused as not run.
  int64_t slots = 6;
  /// Service time of a call, unless its `x-work-ms` header sets another.
  int64_t serviceTimeMs = 1;
  /// Factor by which all service times are multiplied.
  int64_t slowdownFactor = 1;
  /// Front of the upstream's node, to which chained calls are sent.
  std::optional<Endpoint> front;
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, UpstreamTraits& aTraits)
{
  aVisitor.OptionalField("name", aTraits.name);
  aVisitor.OptionalField("slots", aTraits.slots, IntegerRange{ 1, 10000 });
  aVisitor.OptionalField("work_ms", aTraits.serviceTimeMs, IntegerRange{ 0, 600000 });
  aVisitor.OptionalField("slowness", aTraits.slowdownFactor, IntegerRange{ 1, 1000 });
  aVisitor.OptionalField("front", aTraits.front);
}

class UpstreamStandin
{
public:
  UpstreamStandin(Loop& aLoop, const Endpoint& aListen, UpstreamTraits aTraits);

  absl::Status Start();
  /// The `x-call-id` headers of the started calls, in order.
  const std::vector<std::string>& Journal() const { return journal_; }
  int64_t Cancelled() const { return cancelled_; }

private:
  using Exchange = std::shared_ptr<HttpExchange>;
  void OnRequest(const Exchange& aExchange);
  void OnControl(const Exchange& aExchange);
  void Finish(uint64_t aId);
  void Cancel(uint64_t aId);
  /// Calls the next service listed in the `x-chain` header on behalf of a call.
  void CallNextService(uint64_t aId, const std::string& aChain);
  void OnChainedAnswer(uint64_t aId, const HttpResult& aResult);
  HttpResponse MakeAnswer(const HttpRequest& aRequest) const;

  struct Running
  {
    Exchange exchange;
    Timer timer;
    std::optional<HttpClient::RequestId> chainedCall;
  };
  Loop& loop_;
  Endpoint listen_;
  UpstreamTraits traits_;
  HttpClient client_;
  HttpServer server_;
  uint64_t nextId_ = 1;
  std::map<uint64_t, Running> running_;
  std::vector<std::string> journal_;
  int64_t cancelled_ = 0;
};

} // namespace dandelion

#endif
