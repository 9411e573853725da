#include "release/Apply.h"

#include "release/Faults.h"

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

void CheckName(Faults& aFaults, std::string_view aWhat, const std::string& aName)
{
  bool isValid = !aName.empty() && aName.size() <= kLongestName &&
                 std::all_of(aName.begin(), aName.end(), IsNameCharacter);
  if (!isValid) {
    aFaults.Add(ErrorKind::InvalidNote,
                "{} \"{}\" is not a name; use 1 to {} of a-z, 0-9, '-', '_' and '.'",
                aWhat,
                aName.substr(0, kLongestName),
                kLongestName);
  }
}

void CheckPath(Faults& aFaults, const RouteSpec& aRoute)
{
  const std::string& prefix = aRoute.pathPrefix;
  auto isPlain = [](char aCharacter) { return aCharacter > ' ' && aCharacter < 0x7f; };
  bool isValid = !prefix.empty() && prefix[0] == '/' && prefix.size() <= kLongestPath &&
                 std::all_of(prefix.begin(), prefix.end(), isPlain) &&
                 prefix.find_first_of("?#") == std::string::npos;
  if (!isValid) {
    aFaults.Add(ErrorKind::InvalidNote,
                "route \"{}\" has path_prefix \"{}\"; start it with '/' and leave out spaces, '?' "
                "and '#'",
                aRoute.name,
                prefix.substr(0, kLongestPath));
  }
}

/// Sees every object of a note once: `aSpecs(verb, specs)` and `aNames(kind, names)`.
template<class OnSpecs, class OnNames>
void ForEachGroup(const Note& aNote, OnSpecs aSpecs, OnNames aNames)
{
  aSpecs("add", aNote.add.services);
  aSpecs("add", aNote.add.policies);
  aSpecs("add", aNote.add.routes);
  aSpecs("change", aNote.change.services);
  aSpecs("change", aNote.change.policies);
  aSpecs("change", aNote.change.routes);
  aNames(ObjectKind::Service, aNote.withdraw.services);
  aNames(ObjectKind::Policy, aNote.withdraw.policies);
  aNames(ObjectKind::Route, aNote.withdraw.routes);
}

void CheckNamedOnce(Faults& aFaults, std::set<std::string>& aSeen, const std::string& aKey)
{
  if (!aSeen.insert(aKey).second) {
    aFaults.Add(ErrorKind::InvalidNote, "{} is named twice in the note; name it once", aKey);
  }
}

/// One step of applying a note to a copy of its parent.
class Application
{
public:
  Application(const Configuration& aParent, Version aBase)
    : base_(aBase)
    , result_(aParent)
  {
    ++result_.version;
  }

  template<class Spec>
  void Add(HeldMap<Spec>& aMap, const std::vector<Spec>& aSpecs)
  {
    for (const Spec& spec : aSpecs) {
      if (aMap.count(spec.name) > 0) {
        faults_.Add(ErrorKind::AlreadyExists,
                    "{} \"{}\" exists already; put it under \"change\"",
                    NameOf(Spec::kKind),
                    spec.name);
        continue;
      }
      CheckNotWithdrawnSinceBase(Spec::kKind, spec.name);
      aMap[spec.name] = Held<Spec>{ spec, result_.version };
      result_.withdrawn.erase(ObjectKey(Spec::kKind, spec.name));
    }
  }

  template<class Spec>
  void Change(HeldMap<Spec>& aMap, const std::vector<Spec>& aSpecs)
  {
    for (const Spec& spec : aSpecs) {
      auto held = FindUnchanged(aMap, spec.name);
      if (held != aMap.end()) {
        held->second = Held<Spec>{ spec, result_.version };
      }
    }
  }

  template<class Spec>
  void Withdraw(HeldMap<Spec>& aMap, const std::vector<std::string>& aNames)
  {
    for (const std::string& name : aNames) {
      auto held = FindUnchanged(aMap, name);
      if (held != aMap.end()) {
        aMap.erase(held);
        result_.withdrawn[ObjectKey(Spec::kKind, name)] = result_.version;
      }
    }
  }

  void Remember(const Note& aNote)
  {
    result_.notes.push_back({ aNote.id, result_.version, ContentHash(aNote) });
    if (result_.notes.size() <= kRememberedNotes) {
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
      faults_.Add(ErrorKind::Conflict,
                  "base {} is newer than the configuration, version {}; leave out \"base\"",
                  base_,
                  aParent.version);
    }
    // Withdrawn objects are forgotten together with notes, so an older base cannot be judged.
    if (!aParent.notes.empty() && base_ + 1 < aParent.notes.front().version) {
      faults_.Add(ErrorKind::Conflict,
                  "base {} is older than the {} notes that are remembered; write the note against "
                  "version {}",
                  base_,
                  kRememberedNotes,
                  aParent.version);
    }
  }

  Configuration& Result() { return result_; }
  Faults& AllFaults() { return faults_; }

private:
  template<class Spec>
  typename HeldMap<Spec>::iterator FindUnchanged(HeldMap<Spec>& aMap, const std::string& aName)
  {
    auto held = aMap.find(aName);
    if (held == aMap.end()) {
      faults_.Add(ErrorKind::UnknownObject,
                  "{} \"{}\" does not exist; check the name with `dandelion config`",
                  NameOf(Spec::kKind),
                  aName);
      return held;
    }
    if (held->second.changedAt > base_) {
      faults_.Add(ErrorKind::Conflict,
                  "{} \"{}\" was changed in version {}, after the note's base {}; look at it and "
                  "submit anew",
                  NameOf(Spec::kKind),
                  aName,
                  held->second.changedAt,
                  base_);
      return aMap.end();
    }
    return held;
  }

  void CheckNotWithdrawnSinceBase(ObjectKind aKind, const std::string& aName)
  {
    auto withdrawn = result_.withdrawn.find(ObjectKey(aKind, aName));
    if (withdrawn != result_.withdrawn.end() && withdrawn->second > base_) {
      faults_.Add(ErrorKind::Conflict,
                  "{} \"{}\" was withdrawn in version {}, after the note's base {}; submit anew if "
                  "it shall come back",
                  NameOf(aKind),
                  aName,
                  withdrawn->second,
                  base_);
    }
  }

  Version base_;
  Configuration result_;
  Faults faults_;
};

void CheckUnknownId(Faults& aFaults, const Configuration& aParent, const Note& aNote)
{
  const AcceptedNote* earlier = FindNote(aParent, aNote.id);
  if (earlier != nullptr) {
    aFaults.Add(ErrorKind::DuplicateId,
                "note id \"{}\" was accepted as version {}; give the new note another id",
                aNote.id,
                earlier->version);
  }
}

void CheckWithdrawnUnused(Faults& aFaults, const Configuration& aResult, const ObjectNames& aGone)
{
  for (const auto& [name, route] : aResult.routes) {
    auto isGone = [](const std::vector<std::string>& aNames, const std::string& aName) {
      return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
    };
    if (isGone(aGone.services, route.spec.service)) {
      aFaults.Add(
        ErrorKind::InUse,
        "service \"{}\" is used by route \"{}\"; withdraw or change the route in the same "
        "note",
        route.spec.service,
        name);
    }
    if (isGone(aGone.policies, route.spec.policy)) {
      aFaults.Add(ErrorKind::InUse,
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
  Faults faults;
  std::set<std::string> seen;
  size_t count = 0;
  CheckName(faults, "note id", aNote.id);
  auto checkSpecs = [&](std::string_view /* aVerb */, const auto& aSpecs) {
    for (const auto& spec : aSpecs) {
      ++count;
      CheckName(faults, NameOf(spec.kKind), spec.name);
      CheckNamedOnce(faults, seen, ObjectKey(spec.kKind, spec.name));
      if constexpr (std::is_same_v<std::decay_t<decltype(spec)>, RouteSpec>) {
        CheckPath(faults, spec);
      }
    }
  };
  auto checkNames = [&](ObjectKind aKind, const std::vector<std::string>& aNames) {
    for (const std::string& name : aNames) {
      ++count;
      CheckName(faults, NameOf(aKind), name);
      CheckNamedOnce(faults, seen, ObjectKey(aKind, name));
    }
  };
  ForEachGroup(aNote, checkSpecs, checkNames);
  if (count == 0) {
    faults.Add(ErrorKind::InvalidNote,
               "the note \"{}\" is empty; list objects under \"add\", \"change\" or \"withdraw\"",
               aNote.id);
  }
  if (count > kMostNoteObjects) {
    faults.Add(ErrorKind::TooLarge,
               "the note names {} objects; split it into notes of at most {}",
               count,
               kMostNoteObjects);
  }
  return faults.ToStatus();
}

absl::StatusOr<Configuration> Apply(const Configuration& aParent, const Note& aNote, Version aBase)
{
  absl::Status noteStatus = CheckNote(aNote);
  if (!noteStatus.ok()) {
    return noteStatus;
  }
  Application application(aParent, aBase);
  application.CheckBase(aParent);
  CheckUnknownId(application.AllFaults(), aParent, aNote);
  Configuration& result = application.Result();
  application.Withdraw(result.services, aNote.withdraw.services);
  application.Withdraw(result.policies, aNote.withdraw.policies);
  application.Withdraw(result.routes, aNote.withdraw.routes);
  application.Change(result.services, aNote.change.services);
  application.Change(result.policies, aNote.change.policies);
  application.Change(result.routes, aNote.change.routes);
  application.Add(result.services, aNote.add.services);
  application.Add(result.policies, aNote.add.policies);
  application.Add(result.routes, aNote.add.routes);
  CheckWithdrawnUnused(application.AllFaults(), result, aNote.withdraw);
  if (application.AllFaults().Any()) {
    return application.AllFaults().ToStatus();
  }
  absl::Status closed = CheckClosed(result);
  if (!closed.ok()) {
    return closed;
  }
  application.Remember(aNote);
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
