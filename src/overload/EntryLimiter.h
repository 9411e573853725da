/// Notices at the caller's node that the upstreams of a service have too little room. While they
/// have, a call is sent only to an upstream that is expected to answer in time, and not tried out
/// at several: what is refused then costs no messages, and upstreams spend nothing on refusing it.
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

  /// Whether calls of this service and policy are limited.
  bool IsLimiting(const std::string& aService, const std::string& aPolicy, TimePoint aNow) const
  {
    return RefusedShare(aService, aPolicy, aNow) > kLimitingShare;
  }

  /// Smoothed share of the calls of a service and policy that were refused for lack of room.
  double RefusedShare(const std::string& aService,
                      const std::string& aPolicy,
                      TimePoint aNow) const;

  /// Calls are limited above this share of refusals. Below it, a call that is refused by one
  /// upstream mostly finds room at another.
  static constexpr double kLimitingShare = 0.3;

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
