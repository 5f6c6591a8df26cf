// Entry point shared by all test programs.
#define BOOST_TEST_MODULE MEDLARRACK_TEST_NAME
#include <boost/test/unit_test.hpp>

#ifdef MEDLARRACK_TEST_SINGLE_THREADED
#include <cstdio>
#include <cstdlib>
#include <pthread.h>

/// The thread sanitizer runs only the tests that are marked THREADS; this ends any other that starts a thread.
// NOLINTNEXTLINE(readability-identifier-naming): the library's name, taken over.
extern "C" int pthread_create(pthread_t *, const pthread_attr_t *, void *(*)(void *), void *) noexcept
{
    std::fputs("a thread was started by a test that isn't marked THREADS in its CMakeLists.txt\n", stderr);
    std::abort();
}
#endif
