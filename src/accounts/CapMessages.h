/// Messages by which nodes share the usage caps of client accounts.
#ifndef DANDELION_ACCOUNTS_CAP_MESSAGES_H
#define DANDELION_ACCOUNTS_CAP_MESSAGES_H

#include "kernel/Kernel.h"

#include <string>
#include <vector>

namespace dandelion {

struct TokensWanted
{
  std::string account;
  int64_t tokens = 0;
};

/// Delegates the sender's shares of the caps to the receiver and asks for tokens.
struct TokenRequest
{
  uint64_t id = 0;
  std::vector<TokensWanted> wanted;
  /// `TokenGrant::clockUs` of the last grant that the sender received from this owner; 0 if none.
  /// The delegation ends one term after that reading of the owner's clock.
  int64_t echoUs = 0;
};

struct TokensGranted
{
  std::string account;
  int64_t tokens = 0;
  /// If fewer tokens were granted than wanted: time until the next ones are expected.
  int64_t waitMs = 0;
};

struct TokenGrant
{
  uint64_t id = 0;
  std::vector<TokensGranted> granted;
  /// The owner's steady clock in microseconds.
  int64_t clockUs = 0;
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, TokensWanted& aWanted)
{
  aVisitor.Field("account", aWanted.account);
  aVisitor.Field("tokens", aWanted.tokens);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, TokenRequest& aRequest)
{
  aVisitor.Field("id", aRequest.id);
  aVisitor.Field("wanted", aRequest.wanted);
  aVisitor.Field("echo_us", aRequest.echoUs);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, TokensGranted& aGranted)
{
  aVisitor.Field("account", aGranted.account);
  aVisitor.Field("tokens", aGranted.tokens);
  aVisitor.Field("wait_ms", aGranted.waitMs);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, TokenGrant& aGrant)
{
  aVisitor.Field("id", aGrant.id);
  aVisitor.Field("granted", aGrant.granted);
  aVisitor.Field("clock_us", aGrant.clockUs);
}

} // namespace dandelion

#endif
