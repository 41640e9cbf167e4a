#ifndef CICADALUG_BASE_RESULT_HPP
#define CICADALUG_BASE_RESULT_HPP

#include <cicadalug/base/finding.hpp>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

namespace cicadalug {

namespace outcome = boost::outcome_v2;

/**
 * @brief Value or error. Accessing the alternative that is not held terminates the process.
 * @tparam Type Type of the value.
 * @tparam Error Type of the error; another type than findings is used where it carries more information.
 */
template<typename Type, typename Error = findings>
using result = outcome::basic_result<Type, Error, outcome::policy::terminate>;

} // namespace cicadalug

#endif
