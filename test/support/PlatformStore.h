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
  std::map<std::string, Item> items_;
  int64_t revision_ = 1;
  std::vector<Timer> timers_;
};

} // namespace dandelion::testing

#endif
