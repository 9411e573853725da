/// Reports violated mock expectations as failures of the running Criterion test.
#include "support/Mocks.h"

namespace trompeloeil {

// The library's template declares this name.
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
