#include "accounts/AccountTable.h"

namespace dandelion {

AccountTable::AccountTable(ConfigurationPtr aConfiguration)
  : configuration_(std::move(aConfiguration))
{
  for (const auto& [name, account] : configuration_->accounts) {
    for (const std::string& digest : account.spec.keyDigests) {
      byKeyDigest_.emplace(digest, &account.spec);
    }
  }
}

const AccountSpec* AccountTable::FindByKeyDigest(const std::string& aDigest) const
{
  auto found = byKeyDigest_.find(aDigest);
  return found == byKeyDigest_.end() ? nullptr : found->second;
}

} // namespace dandelion
