#ifndef CICADALUG_BASE_RESULT_HPP
#define CICADALUG_BASE_RESULT_HPP

#include <cicadalug/base/finding.hpp>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

namespace cicadalug {

namespace outcome = boost::outcome_v2;

/**
 * @brief Value, or an error. Reading the one that is not there ends the process.
 * @tparam Type Type of the value.
 * @tparam Error Type of the error, findings unless another type says more.
 */
template<typename Type, typename Error = findings>
using result = outcome::basic_result<Type, Error, outcome::policy::terminate>;

} // namespace cicadalug

#endif
