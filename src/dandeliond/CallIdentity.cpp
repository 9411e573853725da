#include "dandeliond/CallIdentity.h"

#include "dandeliond/CallMessages.h"

namespace dandelion {

namespace {

/// The metric label of an account. Quotes and backslashes in a name are escaped, as the text format
/// of metrics demands.
MetricLabel AccountLabel(const std::string& aName)
{
  std::string escaped;
  for (char character : aName) {
    if (character == '"' || character == '\\') {
      escaped += '\\';
    }
    escaped += character;
  }
  return fmt::format("account=\"{}\"", escaped);
}

} // namespace

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

void CountAnswer(Metrics& aMetrics, const CallInProgress& aCall, CallOutcome aOutcome)
{
  if (aCall.account == nullptr || aOutcome == CallOutcome::Unknown) {
    return;
  }
  aMetrics.Count(aOutcome == CallOutcome::Ran ? CounterName::AccountCallsRan
                                              : CounterName::AccountCallsNotRun,
                 AccountLabel(aCall.account->name));
}

Json DescribeAccounts(const Configuration& aConfiguration)
{
  Json accounts = Json::array();
  for (const auto& [name, account] : aConfiguration.accounts) {
    const AccountSpec& spec = account.spec;
    Json json = { { "name", name },
                  { "keys", spec.keyDigests.size() },
                  { "rate_per_s", spec.ratePerS },
                  { "burst", spec.burst } };
    if (spec.priority.has_value()) {
      json["priority"] = *spec.priority;
    }
    accounts.push_back(std::move(json));
  }
  return Json{ { "version", aConfiguration.version }, { "accounts", std::move(accounts) } };
}

} // namespace dandelion
