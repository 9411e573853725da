#include "dandeliond/CallIdentity.h"

#include "dandeliond/CallMessages.h"

namespace dandelion {

absl::StatusOr<const AccountSpec*> FindSender(const AccountTable& aAccounts,
                                              const RouteSpec& aRoute,
                                              const CallerRequest& aRequest)
{
  if (aAccounts.IsEmpty() || aRoute.isAnonymous) {
    return nullptr;
  }
  std::optional<std::string> digest = FindKeyDigest(aRequest.headers);
  if (!digest.has_value()) {
    return MakeError(ErrorKind::Unauthenticated,
                     "this route needs a key; send one header \"Authorization: Bearer KEY\"");
  }
  const AccountSpec* account = aAccounts.FindByKeyDigest(*digest);
  if (account == nullptr) {
    return MakeError(ErrorKind::Unauthenticated,
                     "the key belongs to no account; use one that is in force");
  }
  return account;
}

CallerAnswer MakeUnauthenticatedRefusal(const absl::Status& aError)
{
  CallerAnswer refusal = MakeRefusal(KindOf(aError), MessageOf(aError));
  // HTTP demands that a 401 names the scheme.
  refusal.headers.push_back({ "WWW-Authenticate", "Bearer" });
  return refusal;
}

void AddSender(OpenCall& aOpenCall, const CallInProgress& aCall)
{
  if (!aCall.routes->SourceConfiguration().accounts.empty()) {
    RemoveKeyHeaders(aOpenCall.headers);
  }
  if (aCall.account != nullptr) {
    aOpenCall.account = aCall.account->name;
    aOpenCall.priority = aCall.account->priority.value_or(aOpenCall.priority);
  }
}

bool IsSenderWithdrawn(const Configuration& aConfiguration, const OpenCall& aCall)
{
  return !aCall.account.empty() && aCall.version < aConfiguration.version &&
         aConfiguration.accounts.count(aCall.account) == 0;
}

} // namespace dandelion
