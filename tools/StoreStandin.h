/// Simulates the platform's store in memory: the part of etcd's v3 JSON protocol that the product
/// uses, with faults on request.
#ifndef DANDELION_TOOLS_STORE_STANDIN_H
#define DANDELION_TOOLS_STORE_STANDIN_H

#include "wire/Wire.h"

#include <map>
#include <string>
#include <vector>

namespace dandelion {

/// Faults, set through `POST /control`.
struct StoreFaults
{
  /// Requests get no answer, and open watches are closed.
  bool isDown = false;
  /// Delay before each request takes effect and is answered.
  int64_t delayMs = 0;
  /// Number of transactions from now on that take effect but get no answer.
  int64_t lostAnswers = 0;
  /// Number of transactions from now on that get no answer and take effect after
  /// `lateWriteDelayMs`.
  int64_t lateWrites = 0;
  int64_t lateWriteDelayMs = 0;
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, StoreFaults& aFaults)
{
  aVisitor.OptionalField("down", aFaults.isDown);
  aVisitor.OptionalField("delay_ms", aFaults.delayMs, IntegerRange{ 0, 60000 });
  aVisitor.OptionalField("lose_answers", aFaults.lostAnswers, IntegerRange{ 0, 1000 });
  aVisitor.OptionalField("land_late", aFaults.lateWrites, IntegerRange{ 0, 1000 });
  aVisitor.OptionalField("land_late_ms", aFaults.lateWriteDelayMs, IntegerRange{ 0, 60000 });
}

class StoreStandin
{
public:
  StoreStandin(Loop& aLoop, const Endpoint& aListen);

  absl::Status Start();
  void SetFaults(const StoreFaults& aFaults);
  /// Removes the last keys with a prefix, in key order. For the log these are the newest entries,
  /// as if the store were restored from an old backup.
  void DropNewest(const std::string& aPrefix, size_t aCount);
  uint64_t Calls() const { return calls_; }
  /// Keys that transactions have put, in order.
  const std::vector<std::string>& CreatedKeys() const { return createdKeys_; }

private:
  using Exchange = std::shared_ptr<HttpExchange>;
  struct Item
  {
    std::string value;
    int64_t createRevision = 0;
    int64_t modRevision = 0;
  };
  struct Watcher
  {
    std::string key;
    std::string end;
    Exchange exchange;
  };
  struct PastWrite
  {
    std::string key;
    int64_t revision;
  };

  void OnRequest(const Exchange& aExchange);
  void Serve(const Exchange& aExchange);
  void OnControl(const Exchange& aExchange);
  Json Range(const Json& aRequest) const;
  Json Txn(const Json& aRequest);
  bool IsSatisfied(const Json& aCompare) const;
  Json PutItem(const Json& aRequest);
  Json DeleteItems(const Json& aRequest);
  Json GrantLease(const Json& aRequest);
  void Watch(const Exchange& aExchange, const Json& aRequest);
  void NotifyWatchers(const std::string& aKey, const Item& aItem);
  Json Header() const;

  Loop& loop_;
  Endpoint listen_;
  HttpServer server_;
  StoreFaults faults_;
  std::map<std::string, Item> items_;
  std::vector<PastWrite> history_;
  std::map<int64_t, std::vector<std::string>> leases_;
  std::vector<Watcher> watchers_;
  std::vector<Exchange> unanswered_;
  std::vector<std::string> createdKeys_;
  std::vector<Timer> timers_;
  int64_t revision_ = 1;
  int64_t nextLease_ = 1;
  uint64_t calls_ = 0;
  std::map<std::string, uint64_t> callsByPath_;
};

} // namespace dandelion

#endif
