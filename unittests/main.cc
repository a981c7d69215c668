// The main function of every unit test program.

#define BOOST_TEST_MODULE acaciahold
#include <boost/test/unit_test.hpp>
