// Entry point shared by all test programs.
#define BOOST_TEST_MODULE MEDLARRACK_TEST_NAME
#include <boost/test/unit_test.hpp>
