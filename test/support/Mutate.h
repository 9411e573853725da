/// Random damage to bytes, for property tests of decoders.
#ifndef DANDELION_TEST_SUPPORT_MUTATE_H
#define DANDELION_TEST_SUPPORT_MUTATE_H

#include <rapidcheck.h>

#include <string>

namespace dandelion::testing {

/// Replaces a byte, truncates or inserts a byte, one to five times. Call it within a property.
inline std::string Mutate(std::string aBytes)
{
  int changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes && !aBytes.empty(); ++i) {
    size_t position = *rc::gen::inRange<size_t>(0, aBytes.size());
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        aBytes[position] = static_cast<char>(*rc::gen::inRange(0, 256));
        break;
      case 1:
        aBytes.resize(position);
        break;
      default:
        aBytes.insert(position, 1, static_cast<char>(*rc::gen::inRange(0, 256)));
        break;
    }
  }
  return aBytes;
}

} // namespace dandelion::testing

#endif
