#include "routing/AskedMembers.h"

#include <algorithm>

namespace dandelion {

std::optional<Duration> AskedMembers::Patience(Duration aTimeLeft) const
{
  if (isPatient_) {
    return std::nullopt;
  }
  return std::max(Duration::zero(), aTimeLeft / kPatienceOneIn);
}

void AskedMembers::OnSent(const std::string& aMember)
{
  excluded_.insert(aMember);
  ++asks_;
  patientAsks_ += isPatient_ ? 1 : 0;
}

void AskedMembers::OnBusy(const std::string& aMember)
{
  if (!isPatient_) {
    busy_.insert(aMember);
  }
}

bool AskedMembers::BecomePatient()
{
  isPatient_ = true;
  for (const std::string& member : busy_) {
    excluded_.erase(member);
  }
  bool wasBusy = !busy_.empty();
  busy_.clear();
  return wasBusy;
}

void AskedMembers::BeginAsk()
{
  if (!isPatient_ && asks_ >= kImpatientAsks) {
    BecomePatient();
  }
}

bool AskedMembers::MustMeetTarget() const
{
  return isPatient_ ? patientAsks_ > 0 : asks_ > 0;
}

void AskedMembers::Clear()
{
  excluded_.clear();
  busy_.clear();
}

} // namespace dandelion
