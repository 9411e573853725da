#include "release/AccountChecks.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace dandelion {

namespace {

bool IsKeyDigest(const std::string& aText)
{
  auto isDigit = [](char aCharacter) {
    return (aCharacter >= '0' && aCharacter <= '9') || (aCharacter >= 'a' && aCharacter <= 'f');
  };
  return aText.size() == kKeyDigestDigits && std::all_of(aText.begin(), aText.end(), isDigit);
}

void CheckCap(ValidationErrors& aErrors, const AccountSpec& aAccount)
{
  for (const auto& [field, value] :
       { std::pair("rate_per_s", aAccount.ratePerS), std::pair("burst", aAccount.burst) }) {
    if (value < 0 || value > kMaxRatePerS) {
      aErrors.Add(ErrorKind::InvalidNote,
                  "account \"{}\" has {} {}; use 0 to {}",
                  aAccount.name,
                  field,
                  value,
                  kMaxRatePerS);
    }
  }
}

void CheckPriority(ValidationErrors& aErrors, const AccountSpec& aAccount)
{
  int64_t priority = aAccount.priority.value_or(0);
  if (priority < 0 || priority > kLowestPriority) {
    aErrors.Add(ErrorKind::InvalidNote,
                "account \"{}\" has priority {}; use 0 to {}",
                aAccount.name,
                priority,
                kLowestPriority);
  }
}

} // namespace

void CheckAccounts(ValidationErrors& aErrors, const Configuration& aConfiguration)
{
  std::unordered_map<std::string_view, std::string_view> holders;
  for (const auto& [name, account] : aConfiguration.accounts) {
    CheckCap(aErrors, account.spec);
    CheckPriority(aErrors, account.spec);
    for (const std::string& digest : account.spec.keyDigests) {
      if (digest.empty()) {
        aErrors.Add(ErrorKind::InvalidNote,
                    "account \"{}\" has an empty key; give the key or remove the entry",
                    name);
        continue;
      }
      if (!IsKeyDigest(digest)) {
        aErrors.Add(ErrorKind::InvalidNote,
                    "account \"{}\" has a key digest that is not a SHA-256 digest of {} "
                    "hexadecimal digits in lower case",
                    name,
                    kKeyDigestDigits);
      }
      auto [holder, isNew] = holders.emplace(digest, name);
      if (!isNew && holder->second != name) {
        aErrors.Add(ErrorKind::AlreadyExists,
                    "accounts \"{}\" and \"{}\" hold the same key; remove it from one of them",
                    holder->second,
                    name);
      }
    }
  }
}

size_t CountKeys(const Configuration& aConfiguration)
{
  size_t count = 0;
  for (const auto& [name, account] : aConfiguration.accounts) {
    count += account.spec.keyDigests.size();
  }
  return count;
}

} // namespace dandelion
