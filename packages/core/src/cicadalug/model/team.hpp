#ifndef CICADALUG_MODEL_TEAM_HPP
#define CICADALUG_MODEL_TEAM_HPP

#include <cicadalug/base/ids.hpp>

namespace cicadalug {

/** @brief Holder of a quota. */
struct team {
    team_id m_id;
    /** @brief Share of a pool's slots that the team may use while others wait, from 0 to 1. */
    double m_share{1.0};
};

} // namespace cicadalug

#endif
