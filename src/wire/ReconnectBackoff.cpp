#include "wire/ReconnectBackoff.h"

#include <algorithm>

namespace dandelion {

namespace {

constexpr Duration kShortestBound = milliseconds(50);
/// A peer that is back must be found well within the time in which a note is in force.
constexpr Duration kLongestBound = seconds(2);
constexpr int kMaxDoublings = 10;
constexpr Duration kMemory = seconds(60);

} // namespace

ReconnectBackoff::ReconnectBackoff(uint64_t aSeed)
  : random_(aSeed)
{
}

bool ReconnectBackoff::MayTry(const Endpoint& aPeer, TimePoint aNow) const
{
  auto found = failures_.find(aPeer);
  return found == failures_.end() || aNow >= found->second.nextTry;
}

void ReconnectBackoff::OnFailed(const Endpoint& aPeer, TimePoint aNow)
{
  Failures& failures = failures_[aPeer];
  int doublings = std::min(failures.inARow, kMaxDoublings);
  Duration bound = std::min(kLongestBound, kShortestBound * (1 << doublings));
  std::uniform_int_distribution<Duration::rep> jitter(0, bound.count());
  ++failures.inARow;
  failures.last = aNow;
  failures.nextTry = aNow + Duration(jitter(random_));
}

void ReconnectBackoff::OnOpened(const Endpoint& aPeer)
{
  failures_.erase(aPeer);
}

void ReconnectBackoff::Forget(TimePoint aNow)
{
  for (auto row = failures_.begin(); row != failures_.end();) {
    row = aNow - row->second.last > kMemory ? failures_.erase(row) : std::next(row);
  }
}

} // namespace dandelion
