/// Interfaces of the services that deal with client accounts.
#ifndef DANDELION_DANDELIOND_ACCOUNT_SERVICES_H
#define DANDELION_DANDELIOND_ACCOUNT_SERVICES_H

#include "dandeliond/NodeContext.h"

#include <functional>
#include <string>

namespace dandelion {

/// `ServiceName::AccountCaps`: the quotas of client accounts.
class AccountCaps
{
public:
  /// Called with whether the call may be sent; if not, with the time until the account is expected
  /// to have its next token.
  using OnToken = std::function<void(bool aIsTaken, Duration aWait)>;

  virtual ~AccountCaps() = default;
  /// Takes a token for one call of an account. `aDone` is called once, possibly before this
  /// returns, and at the latest when the owner of the account has not answered for `kTokenTimeout`.
  /// A call of an account without a cap needs no token and is answered at once.
  virtual void TryTake(const std::string& aAccount, OnToken aDone) = 0;
  /// Returns the token of a call that ended as not run and reached no upstream.
  virtual void Return(const std::string& aAccount) = 0;
};

} // namespace dandelion

#endif
