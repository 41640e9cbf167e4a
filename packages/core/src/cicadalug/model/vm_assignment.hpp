#ifndef CICADALUG_MODEL_VM_ASSIGNMENT_HPP
#define CICADALUG_MODEL_VM_ASSIGNMENT_HPP

#include <cicadalug/base/ids.hpp>

namespace cicadalug {

/**
 * @brief Target state of one VM, set by an operator. The control loop starts the operations that bring the VM record to
 * this state.
 */
struct vm_assignment {
    vm_id m_vm;
    /** @brief Pool that the VM should belong to; if empty, the VM stays in its current pool. */
    pool_id m_pool;
    /** @brief True if the VM should receive no work. */
    bool m_drain{false};
};

} // namespace cicadalug

#endif
