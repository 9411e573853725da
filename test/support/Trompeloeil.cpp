/// Violations of mocks fail the Criterion test that runs.
#include "support/Mocks.h"

namespace trompeloeil {

// The library names this method.
template<>
// NOLINTNEXTLINE(readability-identifier-naming)
void reporter<specialized>::send(severity aSeverity,
                                 const char* aFile,
                                 unsigned long aLine,
                                 const char* aMessage)
{
  if (aSeverity == severity::fatal) {
    cr_assert_fail("%s:%lu: %s", aFile, aLine, aMessage);
  } else {
    cr_expect_fail("%s:%lu: %s", aFile, aLine, aMessage);
  }
}

} // namespace trompeloeil
