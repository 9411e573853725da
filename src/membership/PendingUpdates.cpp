#include "membership/PendingUpdates.h"

#include <algorithm>
#include <cmath>

namespace dandelion {

namespace {

constexpr size_t kMaxUpdatesPerMessage = 6;
/// A record is sent this many times for each doubling of the number of members.
constexpr int kUpdateSendsPerDoubling = 3;

} // namespace

void PendingUpdates::Add(const Member& aRecord, size_t aMembers)
{
  double members = static_cast<double>(aMembers) + 1;
  int sends = kUpdateSendsPerDoubling * static_cast<int>(std::ceil(std::log2(members + 1)));
  updates_[aRecord.id] = Update{ aRecord, sends };
}

void PendingUpdates::TakeInto(std::vector<Member>& aRecords)
{
  // The records with the most sends left come first, so that old records do not delay new ones.
  std::vector<Update*> pending;
  for (auto& [id, update] : updates_) {
    pending.push_back(&update);
  }
  auto hasMoreLeft = [](const Update* aA, const Update* aB) {
    return aA->sendsLeft > aB->sendsLeft;
  };
  std::stable_sort(pending.begin(), pending.end(), hasMoreLeft);
  for (Update* update : pending) {
    if (aRecords.size() >= kMaxUpdatesPerMessage) {
      break;
    }
    aRecords.push_back(update->record);
    --update->sendsLeft;
  }
  for (auto row = updates_.begin(); row != updates_.end();) {
    row = row->second.sendsLeft <= 0 ? updates_.erase(row) : std::next(row);
  }
}

} // namespace dandelion
