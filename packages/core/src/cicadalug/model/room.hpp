#ifndef CICADALUG_MODEL_ROOM_HPP
#define CICADALUG_MODEL_ROOM_HPP

#include <cicadalug/base/ids.hpp>

namespace cicadalug {

/** @brief Room with its own cooling. */
struct room {
    room_id m_id;
    /** @brief Power that the cooling can currently remove. */
    watts m_limit;
};

} // namespace cicadalug

#endif
