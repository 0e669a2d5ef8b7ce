# yp_add_module(NAME SOURCES file... LINK target...) builds the static library yp_NAME.
function(yp_add_module name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_library(yp_${name} STATIC ${ARG_SOURCES})
  target_link_libraries(yp_${name} PUBLIC yp_build_options ${ARG_LINK})
endfunction()

# yp_add_program(NAME SOURCES file... LINK target...) builds and installs an executable.
function(yp_add_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE yp_build_options ${ARG_LINK})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

if(NOT YP_NODE_ONLY)
  add_library(yp_test_main STATIC ${CMAKE_CURRENT_LIST_DIR}/testmain.cpp)
  target_link_libraries(yp_test_main PUBLIC yp_build_options Catch2::Catch2)
endif()

# yp_add_test(NAME SOURCES file... LINK target...) builds a Catch2 program and registers it with ctest.
function(yp_add_test name)
  if(YP_NODE_ONLY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE yp_test_main ${RAPIDCHECK_LIBRARY} ${ARG_LINK})
  add_test(NAME ${name} COMMAND ${name})
  # Fixed seeds: the same commit gets the same verdict every time.
  set_tests_properties(${name} PROPERTIES TIMEOUT 120 ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
