/// The client account that sent a call, by the key in its headers.
#ifndef DANDELION_DANDELIOND_CALL_IDENTITY_H
#define DANDELION_DANDELIOND_CALL_IDENTITY_H

#include "dandeliond/CallInProgress.h"

namespace dandelion {

/// Returns the account whose key the call carries; null if the route is anonymous or the
/// configuration has no accounts. Errors: `Unauthenticated` for a missing or unknown key. Error
/// texts do not contain the key.
absl::StatusOr<const AccountSpec*> FindSender(const AccountTable& aAccounts,
                                              const RouteSpec& aRoute,
                                              const CallerRequest& aRequest);

/// The answer to a call whose sender is unknown.
CallerAnswer MakeUnauthenticatedRefusal(const absl::Status& aError);

/// Sets the account and its priority, and removes the key from the headers if the configuration has
/// accounts. Other nodes and the upstream never see a key.
void AddSender(OpenCall& aOpenCall, const CallInProgress& aCall);

/// Whether the account that sent a call is gone from a configuration that is newer than the one by
/// which the call was accepted. A call of an account that only lost a key may finish.
bool IsSenderWithdrawn(const Configuration& aConfiguration, const OpenCall& aCall);

/// Counts the answer to a call of an account.
void CountAnswer(Metrics& aMetrics, const CallInProgress& aCall, CallOutcome aOutcome);

/// The accounts with their caps, priorities and numbers of keys, for operators. Without keys.
Json DescribeAccounts(const Configuration& aConfiguration);

} // namespace dandelion

#endif
