find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED)
find_package(spdlog REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(cxxopts REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(URCU REQUIRED IMPORTED_TARGET liburcu-bp)
pkg_check_modules(ZSTD REQUIRED IMPORTED_TARGET libzstd)
if(NOT YP_NODE_ONLY)
  find_package(Catch2 2 REQUIRED)
  find_package(Python3 REQUIRED COMPONENTS Interpreter)
  find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
endif()

add_library(yp_build_options INTERFACE)
target_include_directories(yp_build_options INTERFACE ${CMAKE_SOURCE_DIR}/src)
target_compile_definitions(
  yp_build_options
  INTERFACE BOOST_ERROR_CODE_HEADER_ONLY BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS BOOST_MPL_LIMIT_LIST_SIZE=30
            $<$<BOOL:${YP_FATAL_INVARIANTS}>:YP_FATAL_INVARIANTS>)
target_link_libraries(yp_build_options INTERFACE Threads::Threads Boost::headers)
