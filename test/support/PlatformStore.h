/// A small store of the platform in the test's own process, with the operators' configuration in
/// it.
#ifndef DANDELION_TEST_SUPPORT_PLATFORM_STORE_H
#define DANDELION_TEST_SUPPORT_PLATFORM_STORE_H

#include "wire/Wire.h"

#include <map>
#include <string>
#include <vector>

namespace dandelion::testing {

class PlatformStore
{
public:
  PlatformStore(Loop& aLoop, const Endpoint& aListen);
  void Put(const std::string& aKey, const std::string& aValue);
  /// Takes a copy of the items, and comes back from it in the next era.
  void Copy() { copy_ = { items_, revision_ }; }
  void Return();
  /// The text of the header that names the era; empty for no header.
  void NameEra(const std::string& aText) { namedEra_ = aText; }
  int64_t Revision() const { return revision_; }

private:
  using Exchange = std::shared_ptr<HttpExchange>;
  void OnRequest(const Exchange& aExchange);
  Json Answer(const HttpRequest& aRequest);
  Json Commit(const Json& aTransaction);
  Json ItemsOf(const std::string& aPrefix, int64_t aAfterRevision) const;

  struct Item
  {
    std::string value;
    int64_t revision = 0;
  };
  Loop& loop_;
  HttpServer server_;
  using Items = std::map<std::string, Item>;
  Items items_;
  int64_t revision_ = 1;
  std::pair<Items, int64_t> copy_;
  int64_t era_ = 0;
  std::string namedEra_;
  std::vector<Timer> timers_;
};

} // namespace dandelion::testing

#endif
