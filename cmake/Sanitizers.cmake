# Builds all code of the project with a sanitizer of the compiler.
set(WAGTAILPICK_SANITIZER "" CACHE STRING "Sanitizer to build with: thread, address or empty")
set_property(CACHE WAGTAILPICK_SANITIZER PROPERTY STRINGS "" thread address)

if(NOT WAGTAILPICK_SANITIZER MATCHES "^(thread|address|)$")
  message(FATAL_ERROR "WAGTAILPICK_SANITIZER is '${WAGTAILPICK_SANITIZER}'; it must be thread, address or empty")
endif()

if(WAGTAILPICK_SANITIZER)
  include(CheckCXXSourceCompiles)
  set(CMAKE_REQUIRED_FLAGS "-fsanitize=${WAGTAILPICK_SANITIZER}")
  check_cxx_source_compiles("int main() { return 0; }" WAGTAILPICK_HAS_SANITIZER_${WAGTAILPICK_SANITIZER})
  unset(CMAKE_REQUIRED_FLAGS)
  if(NOT WAGTAILPICK_HAS_SANITIZER_${WAGTAILPICK_SANITIZER})
    message(FATAL_ERROR "The compiler cannot link with -fsanitize=${WAGTAILPICK_SANITIZER}")
  endif()
  # Level 1 compiles faster than the level of the build type and keeps stacks of reports readable.
  add_compile_options(-fsanitize=${WAGTAILPICK_SANITIZER} -fno-omit-frame-pointer -O1 -g1)
  # The thread sanitizer ignores memory fences, and GCC warns of those in the headers of Asio.
  if(WAGTAILPICK_SANITIZER STREQUAL "thread" AND CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
    add_compile_options(-Wno-tsan)
  endif()
  add_link_options(-fsanitize=${WAGTAILPICK_SANITIZER})
endif()
