#ifndef CICADALUG_DOCUMENT_FWD_HPP
#define CICADALUG_DOCUMENT_FWD_HPP

namespace cicadalug {

struct resource_document;

} // namespace cicadalug

#endif
