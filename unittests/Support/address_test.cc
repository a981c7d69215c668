// Tests for parsing and formatting endpoints.

#include "acaciahold/Support/address.h"

#include <boost/test/unit_test.hpp>

namespace acaciahold {

BOOST_AUTO_TEST_CASE(RoundTripsEndpoint) {
  auto endpoint = ParseEndpoint("10.0.0.1:7000");
  BOOST_REQUIRE(bool(endpoint));
  BOOST_TEST(FormatEndpoint(*endpoint) == "10.0.0.1:7000");
  BOOST_CHECK(UnpackEndpoint(PackEndpoint(*endpoint)) == *endpoint);
}

BOOST_AUTO_TEST_CASE(RejectsInvalidEndpoints) {
  for (auto text : {"host:7000", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:70000",
                    "10.0.0.256:1", "10.0.0.1:7x", ":1", ""}) {
    BOOST_TEST(!ParseEndpoint(text), text);
  }
}

}  // namespace acaciahold
