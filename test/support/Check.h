/// Includes Criterion and RapidCheck for all tests.
#ifndef DANDELION_TEST_SUPPORT_CHECK_H
#define DANDELION_TEST_SUPPORT_CHECK_H

#include <criterion/criterion.h>
#include <rapidcheck.h>

/// Fails the test with RapidCheck's report unless the property holds for all generated cases.
#define CHECK_PROPERTY(...) cr_assert(rc::check(__VA_ARGS__), "the property does not hold")

#endif
