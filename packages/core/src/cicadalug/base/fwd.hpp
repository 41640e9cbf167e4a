#ifndef CICADALUG_BASE_FWD_HPP
#define CICADALUG_BASE_FWD_HPP

namespace cicadalug {

template<typename Tag>
class strong_id;

template<typename Tag, typename Rep>
class strong_number;

struct finding;
class findings;
struct monotonic_clock;

} // namespace cicadalug

#endif
