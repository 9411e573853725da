/// All settings are validated before the start, and the error lists every fault with its path.
/// Guards against a node that starts with unusable settings, and against errors that name only the
/// first fault, so that an operator needs one start for each.
#include "support/Check.h"

#include "dandeliond/NodeSettings.h"

#include <fstream>
#include <sstream>

using namespace dandelion;

Test(settings, example_files_are_valid)
{
  for (const char* path :
       { "examples/whitfield-barrett/node.json", "examples/fraser-valley/node.json" }) {
    auto settings = LoadNodeSettings(path);
    cr_assert(settings.ok(), "%s: %s", path, MessageOf(settings.status()).c_str());
  }
}

Test(settings, error_lists_every_fault_with_its_path)
{
  std::string text = R"({
    // Faults of every kind.
    "id": "", "region": "r", "zone": 5, "service": "s",
    "upstream": { "ip": "localhost", "port": 8080 },
    "front": { "ip": "10.0.0.1", "port": 70000 },
    "peers": { "ip": "10.0.0.1" },
    "operators": { "ip": "10.0.0.1", "port": 1 },
    "store": { "servers": [], "region": "r", "timeout_ms": 1 },
    "log_level": "loud", "speed": 1
  })";
  std::string reason = MessageOf(ParseNodeSettings(text).status());
  for (const char* part : { "id must have 1 to",
                            "zone must be a text",
                            "front.port must be a whole number",
                            "peers.port is missing",
                            "store.timeout_ms must be",
                            "log_level must be one of",
                            "speed is not a known key" }) {
    cr_assert_neq(reason.find(part), std::string::npos, "%s lacks %s", reason.c_str(), part);
  }
}

Test(settings, refuses_invalid_and_conflicting_endpoints)
{
  std::string text = R"({
    "id": "n", "region": "r", "zone": "z", "service": "s",
    "upstream": { "ip": "localhost", "port": 8080 },
    "front": { "ip": "10.0.0.1", "port": 7001 },
    "peers": { "ip": "10.0.0.1", "port": 7001 },
    "operators": { "ip": "10.0.0.1", "port": 7003 },
    "store": { "servers": [], "region": "r" },
    "caps": { "window_s": 0, "slack": -1 }
  })";
  std::string reason = MessageOf(ParseNodeSettings(text).status());
  for (const char* part : { "upstream.ip \"localhost\" is not an IPv4 address",
                            "front and peers are both",
                            "store.servers is empty",
                            "caps.window_s must be above 0",
                            "caps.overage and caps.slack must not be negative" }) {
    cr_assert_neq(reason.find(part), std::string::npos, "%s lacks %s", reason.c_str(), part);
  }
}

Test(settings, zone_sharing_needs_the_choice_that_it_acts_on)
{
  auto parse = [](const std::string& aChoice, int aWaitMs) {
    return ParseNodeSettings(fmt::format(R"({{
      "id": "n", "region": "r", "zone": "z", "service": "s",
      "upstream": {{ "ip": "10.0.0.1", "port": 8080 }},
      "front": {{ "ip": "10.0.0.1", "port": 7001 }},
      "peers": {{ "ip": "10.0.0.1", "port": 7002 }},
      "operators": {{ "ip": "10.0.0.1", "port": 7003 }},
      "store": {{ "servers": [{{ "ip": "10.0.0.2", "port": 2379 }}] }},
      "choice": "{}", "zone_sharing": {{ "zone_wait_ms": {} }}
    }})",
                                         aChoice,
                                         aWaitMs));
  };
  auto valid = parse("earliest-finish", 30);
  cr_assert(valid.ok(), "%s", MessageOf(valid.status()).c_str());
  cr_assert_eq(valid->zoneSharing->zoneWaitMs, 30);
  cr_assert_neq(MessageOf(parse("two-choices", 30).status()).find("zone_sharing needs"),
                std::string::npos);
  cr_assert_neq(MessageOf(parse("earliest-finish", 0).status()).find("zone_wait_ms must be"),
                std::string::npos);
}
