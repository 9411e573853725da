/// A release note, and the log entry that records an accepted note.
#ifndef DANDELION_RELEASE_NOTE_H
#define DANDELION_RELEASE_NOTE_H

#include "release/Objects.h"

#include <optional>
#include <string>
#include <vector>

namespace dandelion {

/// Maximum size of a note as its operator writes it.
constexpr size_t kMaxNoteBytes = 256 * 1024;
constexpr size_t kMaxNoteObjects = 1000;

struct ObjectSet
{
  std::vector<ServiceSpec> services;
  std::vector<PolicySpec> policies;
  std::vector<RouteSpec> routes;
  std::vector<AccountSpec> accounts;
};

struct ObjectNames
{
  std::vector<std::string> services;
  std::vector<std::string> policies;
  std::vector<std::string> routes;
  std::vector<std::string> accounts;
};

struct Note
{
  /// Chosen by the operator. Repeated submissions of a note have the same id.
  std::string id;
  /// Version of the configuration that the operator wrote the note against.
  std::optional<Version> base;
  ObjectSet add;
  ObjectSet change;
  ObjectNames withdraw;
};

/// An accepted note, stored as the value of its version's key in the store's log.
struct Entry
{
  Version version = 0;
  Note note;
  /// Hash of the configuration that the note was applied to.
  std::string parentHash;
  /// Hash of the resulting configuration.
  std::string resultHash;
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, ObjectSet& aSet)
{
  aVisitor.OptionalField("services", aSet.services);
  aVisitor.OptionalField("policies", aSet.policies);
  aVisitor.OptionalField("routes", aSet.routes);
  aVisitor.OptionalField("accounts", aSet.accounts);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, ObjectNames& aNames)
{
  aVisitor.OptionalField("services", aNames.services);
  aVisitor.OptionalField("policies", aNames.policies);
  aVisitor.OptionalField("routes", aNames.routes);
  aVisitor.OptionalField("accounts", aNames.accounts);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, Note& aNote)
{
  aVisitor.Field("id", aNote.id, MaxTextBytes{ kMaxNameBytes });
  aVisitor.OptionalField("base", aNote.base);
  aVisitor.OptionalField("add", aNote.add);
  aVisitor.OptionalField("change", aNote.change);
  aVisitor.OptionalField("withdraw", aNote.withdraw);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, Entry& aEntry)
{
  aVisitor.Field("version", aEntry.version);
  aVisitor.Field("note", aEntry.note);
  aVisitor.Field("parent_hash", aEntry.parentHash);
  aVisitor.Field("result_hash", aEntry.resultHash);
}

/// Hash of a note without its base, because a repeated submission may state a later base.
std::string ContentHash(const Note& aNote);

} // namespace dandelion

#endif
