/// What the calls service knows of a call until it is answered.
#ifndef DANDELION_DANDELIOND_CALL_IN_PROGRESS_H
#define DANDELION_DANDELIOND_CALL_IN_PROGRESS_H

#include "dandeliond/CallServices.h"

#include <map>

namespace dandelion {

using AttemptId = uint64_t;

/// One attempt that has not ended.
struct OpenAttempt
{
  std::string member;
  TimePoint sentAt;
  /// Sent with a maximum queue delay: the upstream's node refuses it if it would wait longer.
  bool isShortWait = false;
  /// A retry was taken from the budget for it in advance.
  bool hasTakenRetry = false;
};

struct CallInProgress
{
  CallerRequest request;
  Calls::OnAnswer onAnswer;
  /// The configuration that `route` points into. A call that is refused because its route was
  /// withdrawn is routed again by the newest one.
  std::shared_ptr<const RouteTable> routes;
  ResolvedRoute route;
  /// The service that the call is sent to, one of the services of its route.
  std::string service;
  TimePoint beganAt;
  /// When the client began its first attempt, as far as is known; its latency target counts from
  /// then.
  TimePoint clientBeganAt;
  /// `attempts` is 0 until the call has a route.
  CallLimits limits;
  Attempts attempts;
  TriedMembers tried;
  std::map<AttemptId, OpenAttempt> openAttempts;
  CallReply lastReply;
  Timer deadlineTimer;
  Timer catchUpTimer;
  Timer hedgeTimer;
  /// The account that sent the call, from the configuration of `routes`; null for an anonymous one.
  const AccountSpec* account = nullptr;
  /// The token of the call's account, which all its attempts use. A call of an account without a
  /// cap holds one, too.
  bool hasToken = false;
  bool mayHaveReachedUpstream = false;
};

} // namespace dandelion

#endif
