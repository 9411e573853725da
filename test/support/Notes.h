/// Notes for tests: fixed ones, and generated ones that use few names so that conflicts are common.
#ifndef DANDELION_TEST_SUPPORT_NOTES_H
#define DANDELION_TEST_SUPPORT_NOTES_H

#include "release/Release.h"

#include <rapidcheck.h>

#include <string>

namespace dandelion::testing {

inline std::string NumberedName(const char* aPrefix, int aIndex)
{
  return aPrefix + std::to_string(aIndex);
}

inline RouteSpec MakeRoute(const std::string& aName, const std::string& aService)
{
  return RouteSpec{ aName, "/" + aName, aService, "policy" };
}

/// Adds a policy, the services s0 and s1 and a route to each.
inline Note MakeFirstNote()
{
  Note note;
  note.id = "first";
  note.add.policies = { PolicySpec{ "policy" } };
  note.add.services = { ServiceSpec{ "s0" }, ServiceSpec{ "s1" } };
  note.add.routes = { MakeRoute("r0", "s0"), MakeRoute("r1", "s1") };
  return note;
}

/// The configuration after `MakeFirstNote`.
inline Configuration MakeFirstConfiguration()
{
  return *Apply(Configuration(), MakeFirstNote(), 0);
}

/// Whether the service and the policy of every route exist. Does not use the code under test.
inline bool HasNoDanglingReferences(const Configuration& aConfiguration)
{
  for (const auto& [name, route] : aConfiguration.routes) {
    if (aConfiguration.services.count(route.spec.service) == 0 ||
        aConfiguration.policies.count(route.spec.policy) == 0) {
      return false;
    }
  }
  return true;
}

/// A note that may or may not be valid. Its names come from a small set that all notes share.
inline rc::Gen<Note> ArbitraryNote()
{
  return rc::gen::exec([] {
    Note note;
    auto index = [](int aEnd) { return *rc::gen::inRange(0, aEnd); };
    note.id = NumberedName("n", index(1000));
    auto service = [&] { return NumberedName("s", index(4)); };
    auto repeat = [&](int aMax, auto aAction) {
      int count = index(aMax);
      for (int i = 0; i < count; ++i) {
        aAction();
      }
    };
    repeat(2, [&] { note.add.policies.push_back(PolicySpec{ "policy" }); });
    repeat(3, [&] { note.add.services.push_back(ServiceSpec{ service(), 1 + index(8) }); });
    repeat(3,
           [&] { note.add.routes.push_back(MakeRoute(NumberedName("r", index(4)), service())); });
    repeat(2, [&] { note.change.services.push_back(ServiceSpec{ service(), 1 + index(8) }); });
    repeat(
      2, [&] { note.change.routes.push_back(MakeRoute(NumberedName("r", index(4)), service())); });
    repeat(2, [&] { note.withdraw.services.push_back(service()); });
    repeat(2, [&] { note.withdraw.routes.push_back(NumberedName("r", index(4))); });
    return note;
  });
}

/// A small note that is usually valid for `aConfiguration`: it adds what does not exist there, and
/// changes or withdraws what does.
inline rc::Gen<Note> MostlyValidNote(const Configuration& aConfiguration, const std::string& aId)
{
  // Captured by value, because RapidCheck runs the generator again when it shrinks a failure.
  return rc::gen::exec([aConfiguration, aId] {
    Note note;
    note.id = aId;
    auto index = [](int aEnd) { return *rc::gen::inRange(0, aEnd); };
    std::string service = NumberedName("s", index(4));
    std::string route = NumberedName("r", index(4));
    bool hasService = aConfiguration.services.count(service) > 0;
    bool hasRoute = aConfiguration.routes.count(route) > 0;
    switch (index(3)) {
      case 0:
        (hasService ? note.change : note.add).services = { ServiceSpec{ service, 1 + index(8) } };
        break;
      case 1:
        (hasRoute ? note.change : note.add).routes = { MakeRoute(route, service) };
        if (!hasService) {
          note.add.services = { ServiceSpec{ service } };
        }
        break;
      default:
        (hasRoute ? note.withdraw.routes : note.withdraw.services) = { hasRoute ? route : service };
        break;
    }
    return note;
  });
}

/// A log of the first note and at most `aLength` more entries, each valid at its position.
inline rc::Gen<std::vector<Entry>> ArbitraryLog(int aLength)
{
  return rc::gen::exec([aLength] {
    std::vector<Entry> log{ *MakeEntry(Configuration(), MakeFirstNote(), 0) };
    Configuration current = MakeFirstConfiguration();
    for (int i = 0; i < aLength; ++i) {
      Note note = *MostlyValidNote(current, NumberedName("step", i));
      auto entry = MakeEntry(current, note, current.version);
      if (entry.ok()) {
        current = *Apply(current, note, current.version);
        log.push_back(*std::move(entry));
      }
    }
    return log;
  });
}

} // namespace dandelion::testing

#endif
