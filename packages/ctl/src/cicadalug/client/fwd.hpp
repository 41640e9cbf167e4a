#ifndef CICADALUG_CLIENT_FWD_HPP
#define CICADALUG_CLIENT_FWD_HPP

#include <cstdint>

namespace cicadalug {

enum class exit_code : std::uint8_t;
struct api_failure;
class api_client;

} // namespace cicadalug

#endif
