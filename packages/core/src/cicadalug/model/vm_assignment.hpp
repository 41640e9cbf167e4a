#ifndef CICADALUG_MODEL_VM_ASSIGNMENT_HPP
#define CICADALUG_MODEL_VM_ASSIGNMENT_HPP

#include <cicadalug/base/ids.hpp>

namespace cicadalug {

/** @brief What an operator wants of one VM. The control loop turns the difference to the VM record into operations. */
struct vm_assignment {
    vm_id m_vm;
    /** @brief Pool the VM shall belong to; empty leaves it where it is. */
    pool_id m_pool;
    /** @brief True if the VM shall take no work. */
    bool m_drain{false};
};

} // namespace cicadalug

#endif
