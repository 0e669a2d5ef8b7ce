set(CMAKE_CXX_STANDARD 17) # websocketpp 0.8.2 does not compile as C++20
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
set(CMAKE_POSITION_INDEPENDENT_CODE ON)

if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()
# -g1 keeps line numbers for backtraces at a third of the object size of -g.
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1")

option(YP_SANITIZE "Build with AddressSanitizer and UndefinedBehaviorSanitizer" OFF)
option(YP_FATAL_INVARIANTS "Abort when an invariant is broken (test builds)" ON)

add_compile_options(-Wall -Wextra -Wno-maybe-uninitialized -Wno-deprecated-declarations)
add_link_options(-fuse-ld=lld)

if(YP_SANITIZE)
  add_compile_options(-fsanitize=address,undefined -fno-omit-frame-pointer)
  add_link_options(-fsanitize=address,undefined)
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  # The base directory makes cached objects valid in every checkout.
  set(CMAKE_CXX_COMPILER_LAUNCHER
      ${CMAKE_COMMAND} -E env CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} CCACHE_NOHASHDIR=1 ${CCACHE_PROGRAM})
endif()
