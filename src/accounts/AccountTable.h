/// Finds the client account of a key in one configuration.
#ifndef DANDELION_ACCOUNTS_ACCOUNT_TABLE_H
#define DANDELION_ACCOUNTS_ACCOUNT_TABLE_H

#include "release/Release.h"

#include <string>
#include <unordered_map>

namespace dandelion {

class AccountTable
{
public:
  explicit AccountTable(ConfigurationPtr aConfiguration);

  /// The account that holds the key with this digest, or null. Valid as long as the table.
  const AccountSpec* FindByKeyDigest(const std::string& aDigest) const;

  bool IsEmpty() const { return configuration_->accounts.empty(); }

private:
  ConfigurationPtr configuration_;
  std::unordered_map<std::string, const AccountSpec*> byKeyDigest_;
};

} // namespace dandelion

#endif
