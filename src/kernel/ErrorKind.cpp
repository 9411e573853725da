#include "kernel/ErrorKind.h"

#include "absl/strings/cord.h"

namespace dandelion {

namespace {

constexpr char kPayloadUrl[] = "dandelion/error-kind";

constexpr ErrorTraits kTraits[] = {
  { ErrorKind::Usage, 400, absl::StatusCode::kInvalidArgument, false, 2 },
  { ErrorKind::InvalidSettings, 500, absl::StatusCode::kInvalidArgument, false, 3 },
  { ErrorKind::InvalidNote, 400, absl::StatusCode::kInvalidArgument, false, 4 },
  { ErrorKind::TooLarge, 413, absl::StatusCode::kInvalidArgument, false, 4 },
  { ErrorKind::UnknownObject, 404, absl::StatusCode::kNotFound, false, 5 },
  { ErrorKind::AlreadyExists, 409, absl::StatusCode::kAlreadyExists, false, 5 },
  { ErrorKind::DanglingReference, 409, absl::StatusCode::kFailedPrecondition, false, 5 },
  { ErrorKind::InUse, 409, absl::StatusCode::kFailedPrecondition, false, 5 },
  { ErrorKind::DuplicateId, 409, absl::StatusCode::kAlreadyExists, false, 5 },
  { ErrorKind::Conflict, 409, absl::StatusCode::kAborted, false, 6 },
  { ErrorKind::OlderVersion, 409, absl::StatusCode::kFailedPrecondition, false, 9 },
  { ErrorKind::VersionGap, 409, absl::StatusCode::kOutOfRange, true, 9 },
  { ErrorKind::WrongHash, 500, absl::StatusCode::kDataLoss, false, 9 },
  { ErrorKind::BrokenMessage, 400, absl::StatusCode::kInvalidArgument, false, 9 },
  { ErrorKind::Forbidden, 403, absl::StatusCode::kPermissionDenied, false, 10 },
  { ErrorKind::Unauthenticated, 401, absl::StatusCode::kUnauthenticated, false, 10 },
  { ErrorKind::StoreUnavailable, 503, absl::StatusCode::kUnavailable, true, 7 },
  { ErrorKind::StoreBehind, 503, absl::StatusCode::kFailedPrecondition, true, 7 },
  { ErrorKind::NotReady, 503, absl::StatusCode::kUnavailable, true, 7 },
  { ErrorKind::Fenced, 503, absl::StatusCode::kUnavailable, true, 7 },
  { ErrorKind::NoRoute, 404, absl::StatusCode::kNotFound, false, 5 },
  { ErrorKind::Withdrawn, 503, absl::StatusCode::kUnavailable, true, 5 },
  { ErrorKind::NoUpstream, 503, absl::StatusCode::kUnavailable, true, 7 },
  { ErrorKind::Overloaded, 503, absl::StatusCode::kResourceExhausted, true, 7 },
  { ErrorKind::OverCap, 429, absl::StatusCode::kResourceExhausted, true, 7 },
  { ErrorKind::Leaving, 503, absl::StatusCode::kUnavailable, true, 7 },
  { ErrorKind::Unreachable, 502, absl::StatusCode::kUnavailable, true, 7 },
  { ErrorKind::DeadlineExceeded, 504, absl::StatusCode::kDeadlineExceeded, false, 8 },
  { ErrorKind::OutcomeUnknown, 504, absl::StatusCode::kUnknown, false, 8 },
  { ErrorKind::Internal, 500, absl::StatusCode::kInternal, false, 9 },
};

} // namespace

const ErrorTraits& TraitsOf(ErrorKind aKind)
{
  for (const ErrorTraits& traits : kTraits) {
    if (traits.kind == aKind) {
      return traits;
    }
  }
  return kTraits[std::size(kTraits) - 1];
}

absl::Status MakeError(ErrorKind aKind, std::string_view aMessage)
{
  absl::Status status(TraitsOf(aKind).code, absl::string_view(aMessage.data(), aMessage.size()));
  std::string name(NameOf(aKind));
  status.SetPayload(kPayloadUrl, absl::Cord(name));
  return status;
}

std::string MessageOf(const absl::Status& aStatus)
{
  return std::string(aStatus.message());
}

ErrorKind KindOf(const absl::Status& aStatus)
{
  auto payload = aStatus.GetPayload(kPayloadUrl);
  if (!payload.has_value()) {
    return ErrorKind::Internal;
  }
  return FromName<ErrorKind>(std::string(*payload)).value_or(ErrorKind::Internal);
}

} // namespace dandelion
