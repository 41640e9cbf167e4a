#ifndef CICADALUG_MODEL_PLANNING_POLICY_HPP
#define CICADALUG_MODEL_PLANNING_POLICY_HPP

namespace cicadalug {

/** @brief Weights of the three planning objectives (buffer, roll-out and moves), each at least 0. */
struct planning_policy {
    double m_buffer_weight{1.0};
    double m_roll_out_weight{1.0};
    double m_moves_weight{1.0};
};

} // namespace cicadalug

#endif
