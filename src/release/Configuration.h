/// The configuration: an immutable value. Applying a note to it yields the next version.
#ifndef DANDELION_RELEASE_CONFIGURATION_H
#define DANDELION_RELEASE_CONFIGURATION_H

#include "release/Note.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dandelion {

/// Number of accepted notes that a configuration remembers to recognise repeated submissions.
constexpr size_t kMaxRememberedNotes = 1024;

/// An object and the version that added or last changed it.
template<class Spec>
struct Versioned
{
  Spec spec;
  Version changedAt = 0;
};

template<class Spec>
using VersionedMap = std::map<std::string, Versioned<Spec>>;

struct AcceptedNote
{
  std::string id;
  Version version = 0;
  std::string contentHash;
};

/// Size limits and timeouts for requests of callers.
struct CallerLimits
{
  int64_t maxHeaderBytes = 32 * 1024;
  int64_t maxBodyBytes = 8 * 1024 * 1024;
  int64_t headerTimeoutMs = 30000;
  int64_t idleTimeoutMs = 120000;
};

struct Configuration
{
  Version version = 0;
  VersionedMap<ServiceSpec> services;
  VersionedMap<PolicySpec> policies;
  VersionedMap<RouteSpec> routes;
  VersionedMap<AccountSpec> accounts;
  /// "kind/name" of withdrawn objects and the version that withdrew each. Kept as long as the notes
  /// of the same versions.
  std::map<std::string, Version> withdrawn;
  /// The most recently accepted notes, in version order.
  std::vector<AcceptedNote> notes;
  CallerLimits limits;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

template<class Visitor, class Spec>
void VisitFields(Visitor& aVisitor, Versioned<Spec>& aVersioned)
{
  aVisitor.Field("spec", aVersioned.spec);
  aVisitor.Field("changed_at", aVersioned.changedAt);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, AcceptedNote& aNote)
{
  aVisitor.Field("id", aNote.id);
  aVisitor.Field("version", aNote.version);
  aVisitor.Field("content_hash", aNote.contentHash);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, CallerLimits& aLimits)
{
  aVisitor.Field("most_header_bytes", aLimits.maxHeaderBytes);
  aVisitor.Field("most_body_bytes", aLimits.maxBodyBytes);
  aVisitor.Field("head_time_ms", aLimits.headerTimeoutMs);
  aVisitor.Field("idle_time_ms", aLimits.idleTimeoutMs);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, Configuration& aConfiguration)
{
  aVisitor.Field("version", aConfiguration.version);
  aVisitor.Field("services", aConfiguration.services);
  aVisitor.Field("policies", aConfiguration.policies);
  aVisitor.Field("routes", aConfiguration.routes);
  aVisitor.OptionalField("accounts", aConfiguration.accounts);
  aVisitor.Field("withdrawn", aConfiguration.withdrawn);
  aVisitor.Field("notes", aConfiguration.notes);
  aVisitor.Field("limits", aConfiguration.limits);
}

/// Returns the accepted note with this id, or nullptr if the configuration does not remember it.
const AcceptedNote* FindNote(const Configuration& aConfiguration, const std::string& aId);

/// Returns the services that a route can send calls to.
std::vector<std::string> ServicesOf(const RouteSpec& aRoute);

/// Checks that the services and the policy of every route exist, that no two routes have the same
/// host and path prefix, and the caps and keys of the accounts: no two may hold the same key. The
/// error lists the problems, each with the object and the remedy.
absl::Status CheckConfiguration(const Configuration& aConfiguration);

/// Checks the numbers of objects before a note is accepted. A configuration that has been accepted
/// already is not checked again: a node that refused it would keep acting on an older one.
absl::Status CheckObjectCounts(const Configuration& aConfiguration);

} // namespace dandelion

#endif
