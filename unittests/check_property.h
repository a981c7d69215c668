// Runs a RapidCheck property inside a Boost.Test case. The seed and the number
// of generated cases are fixed, so that the result is reproducible.

#ifndef ACACIAHOLD_UNITTESTS_CHECK_PROPERTY_H_
#define ACACIAHOLD_UNITTESTS_CHECK_PROPERTY_H_

#include <sstream>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace acaciahold {

template <typename Property>
void CheckProperty(uint64_t seed, int cases, Property property) {
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = cases;
  auto result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  bool is_success = result.template is<rc::detail::SuccessResult>();
  BOOST_TEST(is_success, "seed " << seed << ": " << text.str());
}

}  // namespace acaciahold

#endif  // ACACIAHOLD_UNITTESTS_CHECK_PROPERTY_H_
