#ifndef CICADALUG_MODEL_POOL_HPP
#define CICADALUG_MODEL_POOL_HPP

#include <cicadalug/base/ids.hpp>

namespace cicadalug {

/** @brief Set of VMs that serves the services placed on it. Its members are the VM records that name it. */
struct pool {
    pool_id m_id;
    /** @brief True for the pool that takes the overflow of the others. */
    bool m_spare{false};
};

} // namespace cicadalug

#endif
