#define BOOST_TEST_MODULE LYCHEEFRONT_TEST_NAME
#include <boost/test/unit_test.hpp>
