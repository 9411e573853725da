#include "routing/TriedMembers.h"

#include <algorithm>

namespace dandelion {

std::optional<Duration> TriedMembers::MaxQueueDelay(Duration aTimeLeft) const
{
  if (waitsFully_) {
    return std::nullopt;
  }
  return std::max(Duration::zero(), aTimeLeft / kShortWaitDivisor);
}

void TriedMembers::OnSent(const std::string& aMember)
{
  excluded_.insert(aMember);
  ++sends_;
  fullWaitSends_ += waitsFully_ ? 1 : 0;
}

void TriedMembers::OnShortWaitRefused(const std::string& aMember)
{
  if (!waitsFully_) {
    refusedShortWait_.insert(aMember);
  }
}

bool TriedMembers::EndShortWait()
{
  waitsFully_ = true;
  for (const std::string& member : refusedShortWait_) {
    excluded_.erase(member);
  }
  bool hadRefusals = !refusedShortWait_.empty();
  refusedShortWait_.clear();
  return hadRefusals;
}

void TriedMembers::BeginSend()
{
  if (!waitsFully_ && sends_ >= kShortWaitSends) {
    EndShortWait();
  }
}

bool TriedMembers::MustMeetTarget() const
{
  return waitsFully_ ? fullWaitSends_ > 0 : sends_ > 0;
}

void TriedMembers::Clear()
{
  excluded_.clear();
  refusedShortWait_.clear();
}

} // namespace dandelion
