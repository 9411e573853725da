/// All kinds of errors, and how the programs report each of them.
#ifndef DANDELION_KERNEL_ERROR_KIND_H
#define DANDELION_KERNEL_ERROR_KIND_H

#include "kernel/EnumNames.h"

#include "absl/status/status.h"

#include <string>
#include <string_view>

namespace dandelion {

enum class ErrorKind
{
  Usage,
  InvalidSettings,
  InvalidNote,
  TooLarge,
  UnknownObject,
  AlreadyExists,
  DanglingReference,
  InUse,
  DuplicateId,
  Conflict,
  OlderVersion,
  VersionGap,
  WrongHash,
  BrokenMessage,
  Forbidden,
  Unauthenticated,
  StoreUnavailable,
  StoreBehind,
  NotReady,
  Fenced,
  NoRoute,
  Withdrawn,
  NoUpstream,
  Overloaded,
  OverCap,
  Leaving,
  Unreachable,
  DeadlineExceeded,
  OutcomeUnknown,
  Internal,
};

template<>
struct EnumNames<ErrorKind>
{
  static constexpr EnumName<ErrorKind> kTable[] = {
    { ErrorKind::Usage, "usage" },
    { ErrorKind::InvalidSettings, "invalid-settings" },
    { ErrorKind::InvalidNote, "invalid-note" },
    { ErrorKind::TooLarge, "too-large" },
    { ErrorKind::UnknownObject, "unknown-object" },
    { ErrorKind::AlreadyExists, "already-exists" },
    { ErrorKind::DanglingReference, "dangling-reference" },
    { ErrorKind::InUse, "in-use" },
    { ErrorKind::DuplicateId, "duplicate-id" },
    { ErrorKind::Conflict, "conflict" },
    { ErrorKind::OlderVersion, "older-version" },
    { ErrorKind::VersionGap, "version-gap" },
    { ErrorKind::WrongHash, "wrong-hash" },
    { ErrorKind::BrokenMessage, "broken-message" },
    { ErrorKind::Forbidden, "forbidden" },
    { ErrorKind::Unauthenticated, "unauthenticated" },
    { ErrorKind::StoreUnavailable, "store-unavailable" },
    { ErrorKind::StoreBehind, "store-behind" },
    { ErrorKind::NotReady, "not-ready" },
    { ErrorKind::Fenced, "fenced" },
    { ErrorKind::NoRoute, "no-route" },
    { ErrorKind::Withdrawn, "withdrawn" },
    { ErrorKind::NoUpstream, "no-upstream" },
    { ErrorKind::Overloaded, "overloaded" },
    { ErrorKind::OverCap, "over-cap" },
    { ErrorKind::Leaving, "leaving" },
    { ErrorKind::Unreachable, "unreachable" },
    { ErrorKind::DeadlineExceeded, "deadline-exceeded" },
    { ErrorKind::OutcomeUnknown, "outcome-unknown" },
    { ErrorKind::Internal, "internal" },
  };
};

/// How the programs report errors of a kind.
struct ErrorTraits
{
  ErrorKind kind;
  int httpStatus;
  absl::StatusCode code;
  /// The same request can safely be sent again.
  bool mayRetry;
  /// Exit code of the command-line tool.
  int exitCode;
};

/// The traits of a kind; those of `Internal` for a kind without traits.
const ErrorTraits& TraitsOf(ErrorKind aKind);

/// Makes a status of this kind. The message should name the object and the remedy.
absl::Status MakeError(ErrorKind aKind, std::string_view aMessage);

/// The message of a status.
std::string MessageOf(const absl::Status& aStatus);

/// The kind of a failed status; `Internal` for one that was not made by `MakeError`.
ErrorKind KindOf(const absl::Status& aStatus);

} // namespace dandelion

#endif
