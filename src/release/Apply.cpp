#include "release/Apply.h"

#include "release/ValidationErrors.h"

#include <algorithm>
#include <set>

namespace dandelion {

namespace {

std::string ObjectKey(ObjectKind aKind, const std::string& aName)
{
  return fmt::format("{}/{}", NameOf(aKind), aName);
}

bool IsNameCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= '0' && aCharacter <= '9') ||
         aCharacter == '-' || aCharacter == '_' || aCharacter == '.';
}

void CheckName(ValidationErrors& aErrors, std::string_view aWhat, const std::string& aName)
{
  bool isValid = !aName.empty() && aName.size() <= kMaxNameBytes &&
                 std::all_of(aName.begin(), aName.end(), IsNameCharacter);
  if (!isValid) {
    aErrors.Add(
      ErrorKind::InvalidNote,
      "{} \"{}\" is not a valid name; use 1 to {} characters of a-z, 0-9, '-', '_' and '.'",
      aWhat,
      aName.substr(0, kMaxNameBytes),
      kMaxNameBytes);
  }
}

void CheckPath(ValidationErrors& aErrors, const RouteSpec& aRoute)
{
  const std::string& prefix = aRoute.pathPrefix;
  auto isVisibleAscii = [](char aCharacter) { return aCharacter > ' ' && aCharacter < 0x7f; };
  bool isValid = !prefix.empty() && prefix[0] == '/' && prefix.size() <= kMaxPathBytes &&
                 std::all_of(prefix.begin(), prefix.end(), isVisibleAscii) &&
                 prefix.find_first_of("?#") == std::string::npos;
  if (!isValid) {
    aErrors.Add(ErrorKind::InvalidNote,
                "route \"{}\" has the invalid path_prefix \"{}\"; start it with '/' and omit "
                "spaces, '?' and '#'",
                aRoute.name,
                prefix.substr(0, kMaxPathBytes));
  }
}

/// Calls `aSpecs(verb, specs)` for each list of added or changed objects, and
/// `aNames(kind, names)` for each list of withdrawn names.
template<class OnSpecs, class OnNames>
void ForEachGroup(const Note& aNote, OnSpecs aSpecs, OnNames aNames)
{
  aSpecs("add", aNote.add.services);
  aSpecs("add", aNote.add.policies);
  aSpecs("add", aNote.add.routes);
  aSpecs("add", aNote.add.accounts);
  aSpecs("change", aNote.change.services);
  aSpecs("change", aNote.change.policies);
  aSpecs("change", aNote.change.routes);
  aSpecs("change", aNote.change.accounts);
  aNames(ObjectKind::Service, aNote.withdraw.services);
  aNames(ObjectKind::Policy, aNote.withdraw.policies);
  aNames(ObjectKind::Route, aNote.withdraw.routes);
  aNames(ObjectKind::Account, aNote.withdraw.accounts);
}

void CheckListedOnce(ValidationErrors& aErrors,
                     std::set<std::string>& aSeen,
                     const std::string& aKey)
{
  if (!aSeen.insert(aKey).second) {
    aErrors.Add(ErrorKind::InvalidNote, "{} is listed twice in the note; list it once", aKey);
  }
}

/// Applies a note to a copy of its parent configuration and collects the errors.
class NoteApplier
{
public:
  NoteApplier(const Configuration& aParent, Version aBase)
    : base_(aBase)
    , result_(aParent)
  {
    ++result_.version;
  }

  template<class Spec>
  void Add(VersionedMap<Spec>& aMap, const std::vector<Spec>& aSpecs)
  {
    for (const Spec& spec : aSpecs) {
      if (aMap.count(spec.name) > 0) {
        errors_.Add(ErrorKind::AlreadyExists,
                    "{} \"{}\" exists already; put it under \"change\"",
                    NameOf(Spec::kKind),
                    spec.name);
        continue;
      }
      CheckNotWithdrawnSinceBase(Spec::kKind, spec.name);
      aMap[spec.name] = Versioned<Spec>{ spec, result_.version };
      result_.withdrawn.erase(ObjectKey(Spec::kKind, spec.name));
    }
  }

  template<class Spec>
  void Change(VersionedMap<Spec>& aMap, const std::vector<Spec>& aSpecs)
  {
    for (const Spec& spec : aSpecs) {
      auto object = FindUnchanged(aMap, spec.name);
      if (object != aMap.end()) {
        object->second = Versioned<Spec>{ spec, result_.version };
      }
    }
  }

  template<class Spec>
  void Withdraw(VersionedMap<Spec>& aMap, const std::vector<std::string>& aNames)
  {
    for (const std::string& name : aNames) {
      auto object = FindUnchanged(aMap, name);
      if (object != aMap.end()) {
        aMap.erase(object);
        result_.withdrawn[ObjectKey(Spec::kKind, name)] = result_.version;
      }
    }
  }

  void RecordNote(const Note& aNote)
  {
    result_.notes.push_back({ aNote.id, result_.version, ContentHash(aNote) });
    if (result_.notes.size() <= kMaxRememberedNotes) {
      return;
    }
    result_.notes.erase(result_.notes.begin());
    Version oldest = result_.notes.front().version;
    for (auto object = result_.withdrawn.begin(); object != result_.withdrawn.end();) {
      object = object->second < oldest ? result_.withdrawn.erase(object) : std::next(object);
    }
  }

  void CheckBase(const Configuration& aParent)
  {
    if (base_ > aParent.version) {
      errors_.Add(ErrorKind::Conflict,
                  "base {} is newer than the configuration, version {}; leave out \"base\"",
                  base_,
                  aParent.version);
    }
    // The versions of withdrawn objects are dropped together with the notes, so conflicts with an
    // older base cannot be detected.
    if (!aParent.notes.empty() && base_ + 1 < aParent.notes.front().version) {
      errors_.Add(ErrorKind::Conflict,
                  "base {} is older than the {} most recent notes, so conflicts cannot be checked; "
                  "write the note against version {}",
                  base_,
                  kMaxRememberedNotes,
                  aParent.version);
    }
  }

  Configuration& Result() { return result_; }
  ValidationErrors& Errors() { return errors_; }

private:
  template<class Spec>
  typename VersionedMap<Spec>::iterator FindUnchanged(VersionedMap<Spec>& aMap,
                                                      const std::string& aName)
  {
    auto object = aMap.find(aName);
    if (object == aMap.end()) {
      errors_.Add(ErrorKind::UnknownObject,
                  "{} \"{}\" does not exist; check the name with `dandelion config`",
                  NameOf(Spec::kKind),
                  aName);
      return object;
    }
    if (object->second.changedAt > base_) {
      errors_.Add(
        ErrorKind::Conflict,
        "{} \"{}\" was changed in version {}, after the note's base {}; review the change "
        "and submit the note with a newer base",
        NameOf(Spec::kKind),
        aName,
        object->second.changedAt,
        base_);
      return aMap.end();
    }
    return object;
  }

  void CheckNotWithdrawnSinceBase(ObjectKind aKind, const std::string& aName)
  {
    auto withdrawn = result_.withdrawn.find(ObjectKey(aKind, aName));
    if (withdrawn != result_.withdrawn.end() && withdrawn->second > base_) {
      errors_.Add(
        ErrorKind::Conflict,
        "{} \"{}\" was withdrawn in version {}, after the note's base {}; to add it again, "
        "submit the note with a newer base",
        NameOf(aKind),
        aName,
        withdrawn->second,
        base_);
    }
  }

  Version base_;
  Configuration result_;
  ValidationErrors errors_;
};

void CheckIdIsNew(ValidationErrors& aErrors, const Configuration& aParent, const Note& aNote)
{
  const AcceptedNote* earlier = FindNote(aParent, aNote.id);
  if (earlier != nullptr) {
    aErrors.Add(ErrorKind::DuplicateId,
                "note id \"{}\" was accepted as version {}; give the new note another id",
                aNote.id,
                earlier->version);
  }
}

void CheckWithdrawnNotReferenced(ValidationErrors& aErrors,
                                 const Configuration& aResult,
                                 const ObjectNames& aWithdrawn)
{
  for (const auto& [name, route] : aResult.routes) {
    auto isWithdrawn = [](const std::vector<std::string>& aNames, const std::string& aName) {
      return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
    };
    if (isWithdrawn(aWithdrawn.services, route.spec.service)) {
      aErrors.Add(
        ErrorKind::InUse,
        "service \"{}\" is used by route \"{}\"; withdraw or change the route in the same "
        "note",
        route.spec.service,
        name);
    }
    if (isWithdrawn(aWithdrawn.policies, route.spec.policy)) {
      aErrors.Add(ErrorKind::InUse,
                  "policy \"{}\" is used by route \"{}\"; withdraw or change the route in the same "
                  "note",
                  route.spec.policy,
                  name);
    }
  }
}

} // namespace

absl::Status CheckNote(const Note& aNote)
{
  ValidationErrors errors;
  std::set<std::string> seen;
  size_t count = 0;
  CheckName(errors, "note id", aNote.id);
  auto checkSpecs = [&](std::string_view /* aVerb */, const auto& aSpecs) {
    for (const auto& spec : aSpecs) {
      ++count;
      CheckName(errors, NameOf(spec.kKind), spec.name);
      CheckListedOnce(errors, seen, ObjectKey(spec.kKind, spec.name));
      if constexpr (std::is_same_v<std::decay_t<decltype(spec)>, RouteSpec>) {
        CheckPath(errors, spec);
      }
    }
  };
  auto checkNames = [&](ObjectKind aKind, const std::vector<std::string>& aNames) {
    for (const std::string& name : aNames) {
      ++count;
      CheckName(errors, NameOf(aKind), name);
      CheckListedOnce(errors, seen, ObjectKey(aKind, name));
    }
  };
  ForEachGroup(aNote, checkSpecs, checkNames);
  if (count == 0) {
    errors.Add(ErrorKind::InvalidNote,
               "the note \"{}\" is empty; list objects under \"add\", \"change\" or \"withdraw\"",
               aNote.id);
  }
  if (count > kMaxNoteObjects) {
    errors.Add(ErrorKind::TooLarge,
               "the note names {} objects; split it into notes of at most {}",
               count,
               kMaxNoteObjects);
  }
  return errors.ToStatus();
}

absl::StatusOr<Configuration> Apply(const Configuration& aParent, const Note& aNote, Version aBase)
{
  absl::Status noteStatus = CheckNote(aNote);
  if (!noteStatus.ok()) {
    return noteStatus;
  }
  NoteApplier applier(aParent, aBase);
  applier.CheckBase(aParent);
  CheckIdIsNew(applier.Errors(), aParent, aNote);
  Configuration& result = applier.Result();
  applier.Withdraw(result.services, aNote.withdraw.services);
  applier.Withdraw(result.policies, aNote.withdraw.policies);
  applier.Withdraw(result.routes, aNote.withdraw.routes);
  applier.Withdraw(result.accounts, aNote.withdraw.accounts);
  applier.Change(result.services, aNote.change.services);
  applier.Change(result.policies, aNote.change.policies);
  applier.Change(result.routes, aNote.change.routes);
  applier.Change(result.accounts, aNote.change.accounts);
  applier.Add(result.services, aNote.add.services);
  applier.Add(result.policies, aNote.add.policies);
  applier.Add(result.routes, aNote.add.routes);
  applier.Add(result.accounts, aNote.add.accounts);
  CheckWithdrawnNotReferenced(applier.Errors(), result, aNote.withdraw);
  if (applier.Errors().HasErrors()) {
    return applier.Errors().ToStatus();
  }
  for (auto check : { CheckObjectCounts, CheckConfiguration }) {
    absl::Status status = check(result);
    if (!status.ok()) {
      return status;
    }
  }
  applier.RecordNote(aNote);
  return std::move(result);
}

absl::StatusOr<Entry> MakeEntry(const Configuration& aParent, const Note& aNote, Version aBase)
{
  auto result = Apply(aParent, aNote, aBase);
  if (!result.ok()) {
    return result.status();
  }
  Entry entry;
  entry.version = result->version;
  entry.note = aNote;
  entry.note.base = aBase;
  entry.parentHash = HashOf(aParent);
  entry.resultHash = HashOf(*result);
  return entry;
}

} // namespace dandelion
