#ifndef CICADALUG_MODEL_POOL_HPP
#define CICADALUG_MODEL_POOL_HPP

#include <cicadalug/base/ids.hpp>

namespace cicadalug {

/** @brief Set of VMs that run the services placed on it. Its members are the VMs whose records refer to it. */
struct pool {
    pool_id m_id;
    /** @brief True for the spare pool, which receives the overflow of the other pools. */
    bool m_spare{false};
};

} // namespace cicadalug

#endif
