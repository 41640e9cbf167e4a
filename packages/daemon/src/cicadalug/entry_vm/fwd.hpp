#ifndef CICADALUG_ENTRY_VM_FWD_HPP
#define CICADALUG_ENTRY_VM_FWD_HPP

namespace cicadalug {

class entry_vm;

} // namespace cicadalug

#endif
