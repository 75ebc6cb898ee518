# Functions that declare the workspace's packages: libraries, test programs and benchmarks.
# Callers list all sources explicitly.

function(wagtailpick_warnings target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Wconversion)
  if(WAGTAILPICK_WARNINGS_AS_ERRORS)
    target_compile_options(${target} PRIVATE -Werror)
  endif()
endfunction()

# wagtailpick_library(NAME SOURCES file... [LINKS target...] [PRIVATE_LINKS target...]): builds the
# static library wagtailpick_NAME. LINKS also apply to targets that link it.
function(wagtailpick_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS;PRIVATE_LINKS" ${ARGN})
  add_library(wagtailpick_${name} STATIC ${ARG_SOURCES})
  target_include_directories(wagtailpick_${name} PUBLIC "${PROJECT_SOURCE_DIR}/src/libs")
  target_link_libraries(wagtailpick_${name} PUBLIC ${ARG_LINKS} PRIVATE ${ARG_PRIVATE_LINKS})
  wagtailpick_warnings(wagtailpick_${name})
endfunction()

# wagtailpick_test(NAME SOURCES file... [LINKS target...]): builds the program test_NAME
# and adds it to CTest as NAME.
function(wagtailpick_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_executable(test_${name} ${ARG_SOURCES})
  if(WAGTAILPICK_SANITIZER STREQUAL "thread")
    target_sources(test_${name} PRIVATE "${PROJECT_SOURCE_DIR}/tests/auto/sanitizer/criterion_arena.cpp")
    target_link_libraries(test_${name} PRIVATE ${CMAKE_DL_LIBS})
  endif()
  target_link_libraries(test_${name} PRIVATE ${ARG_LINKS} PkgConfig::CRITERION)
  wagtailpick_warnings(test_${name})
  set_target_properties(test_${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/tests")
  add_test(NAME ${name} COMMAND test_${name})
endfunction()

# wagtailpick_benchmark(NAME SOURCES file... [LINKS target...]): builds the program
# bench_NAME, which CI builds but does not run.
function(wagtailpick_benchmark name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_executable(bench_${name} ${ARG_SOURCES})
  target_link_libraries(bench_${name} PRIVATE ${ARG_LINKS})
  wagtailpick_warnings(bench_${name})
  set_target_properties(bench_${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/benchmarks")
endfunction()
