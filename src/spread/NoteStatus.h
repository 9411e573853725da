/// Status of a note as reported to operators.
#ifndef DANDELION_SPREAD_NOTE_STATUS_H
#define DANDELION_SPREAD_NOTE_STATUS_H

#include "spread/VersionProgress.h"

namespace dandelion {

enum class NoteState
{
  Unknown,
  Undecided,
  Accepted,
  Spreading,
  InForceEverywhere,
  Refused,
};

template<>
struct EnumNames<NoteState>
{
  static constexpr EnumName<NoteState> kTable[] = {
    { NoteState::Unknown, "unknown" },
    { NoteState::Undecided, "undecided" },
    { NoteState::Accepted, "accepted" },
    { NoteState::Spreading, "spreading" },
    { NoteState::InForceEverywhere, "in-force-everywhere" },
    { NoteState::Refused, "refused" },
  };
};

struct NoteStatus
{
  std::string id;
  NoteState state = NoteState::Unknown;
  std::optional<Version> version;
  std::optional<ErrorKind> error;
  std::string reason;
  std::vector<ZoneProgress> zones;
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, NoteStatus& aStatus)
{
  aVisitor.Field("id", aStatus.id);
  aVisitor.Field("state", aStatus.state);
  aVisitor.OptionalField("version", aStatus.version);
  aVisitor.OptionalField("error", aStatus.error);
  aVisitor.OptionalField("reason", aStatus.reason);
  aVisitor.OptionalField("zones", aStatus.zones);
}

} // namespace dandelion

#endif
