/// Refuses calls at the node of their caller while no upstream of their service can answer in time.
#ifndef DANDELION_OVERLOAD_ENTRY_LIMITER_H
#define DANDELION_OVERLOAD_ENTRY_LIMITER_H

#include "release/Release.h"

#include <map>
#include <string>

namespace dandelion {

class EntryLimiter
{
public:
  /// Records how a call of a service and policy ended: whether upstreams had room for it.
  void OnCallEnded(const std::string& aService,
                   const std::string& aPolicy,
                   bool aWasRefused,
                   TimePoint aNow);

  /// Smoothed share of the calls of a service and policy that were refused for lack of room.
  double RefusedShare(const std::string& aService,
                      const std::string& aPolicy,
                      TimePoint aNow) const;

private:
  struct Share
  {
    double refused = 0;
    TimePoint at;
  };
  std::map<std::pair<std::string, std::string>, Share> shares_;
};

} // namespace dandelion

#endif
