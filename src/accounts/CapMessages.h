/// Messages by which nodes share the quotas of client accounts.
#ifndef DANDELION_ACCOUNTS_CAP_MESSAGES_H
#define DANDELION_ACCOUNTS_CAP_MESSAGES_H

#include "kernel/Kernel.h"

#include <string>
#include <vector>

namespace dandelion {

struct TokensWanted
{
  std::string account;
  /// Tokens for calls that wait for them.
  int64_t tokens = 0;
  /// Tokens that the sender would keep in stock, or lend to its region. They are granted only from
  /// the upper part of the account's bucket, so that they take nothing from waiting calls.
  int64_t spare = 0;
};

/// Delegates the sender's shares of the caps of one shard to the receiver and asks for tokens.
struct TokenRequest
{
  uint64_t id = 0;
  /// Id of the sending member.
  std::string sender;
  int64_t shard = 0;
  /// The delegated share is one over this number. 0 if the request delegates nothing.
  int64_t members = 0;
  /// Length of the delegation. It begins at `echoUs`.
  int64_t termMs = 0;
  std::vector<TokensWanted> wanted;
  /// Sent by the owner of another region.
  bool isLoan = false;
  /// `TokenGrant::clockUs` of the last grant that the sender received from this owner; 0 if none.
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
  /// The owner's steady clock in microseconds, plus a number that it chose at its start, so that
  /// readings of an earlier process in the slot are not taken for its own.
  int64_t clockUs = 0;
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, TokensWanted& aWanted)
{
  aVisitor.Field("account", aWanted.account);
  aVisitor.Field("tokens", aWanted.tokens);
  aVisitor.Field("spare", aWanted.spare);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, TokenRequest& aRequest)
{
  aVisitor.Field("id", aRequest.id);
  aVisitor.Field("sender", aRequest.sender);
  aVisitor.Field("shard", aRequest.shard);
  aVisitor.Field("members", aRequest.members);
  aVisitor.Field("term_ms", aRequest.termMs);
  aVisitor.Field("wanted", aRequest.wanted);
  aVisitor.Field("loan", aRequest.isLoan);
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
