#include "accounts/FairRoom.h"

#include <algorithm>

namespace dandelion {

Duration FairRoom::NextTag(const std::string& aAccount) const
{
  auto known = tags_.find(aAccount);
  return known == tags_.end() ? current_ : std::max(current_, known->second);
}

void FairRoom::OnStarted(const std::string& aAccount, Duration aExpected)
{
  Duration tag = NextTag(aAccount);
  current_ = tag;
  SetTag(aAccount, tag + aExpected);
  for (auto entry = tags_.begin(); entry != tags_.end();) {
    entry = entry->second <= current_ ? tags_.erase(entry) : std::next(entry);
  }
}

void FairRoom::OnFinished(const std::string& aAccount, Duration aExpected, Duration aActual)
{
  SetTag(aAccount, NextTag(aAccount) + aActual - aExpected);
}

void FairRoom::SetTag(const std::string& aAccount, Duration aTag)
{
  if (aTag > current_) {
    tags_[aAccount] = aTag;
  } else {
    tags_.erase(aAccount);
  }
}

} // namespace dandelion
