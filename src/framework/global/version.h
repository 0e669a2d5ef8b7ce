#ifndef YP_FRAMEWORK_GLOBAL_VERSION_H
#define YP_FRAMEWORK_GLOBAL_VERSION_H

namespace yp {

/// Version of all programs of this project.
constexpr char kVersion[] = "0.2.0";

} // namespace yp

#endif
