#ifndef CICADALUG_MODEL_TEAM_HPP
#define CICADALUG_MODEL_TEAM_HPP

#include <cicadalug/base/ids.hpp>

namespace cicadalug {

/** @brief Team that a quota applies to. */
struct team {
    team_id m_id;
    /** @brief Fraction of the slots of a pool that the team may use while other teams wait, from 0 to 1. */
    double m_share{1.0};
};

} // namespace cicadalug

#endif
