# sapphirewind_library(NAME [DEPS ...] [PRIVATE_DEPS ...])
# Adds the static library sw_NAME from NAME/include and NAME/src, and its tests from NAME/test as
# test_NAME.
function(sapphirewind_library name)
  cmake_parse_arguments(ARG "" "" "DEPS;PRIVATE_DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/src/*.cpp)
  add_library(sw_${name} STATIC ${sources})
  target_include_directories(sw_${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/${name}/include)
  target_link_libraries(sw_${name} PUBLIC ${ARG_DEPS} PRIVATE ${ARG_PRIVATE_DEPS})
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/test/*.cpp)
  if(tests)
    sapphirewind_test(test_${name} SOURCES ${tests} DEPS sw_${name})
  endif()
endfunction()

# sapphirewind_test(NAME SOURCES ... DEPS ...)
# Adds a Boost.Test program and registers it with CTest.
function(sapphirewind_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  # main() is generated in a separate file, so that the tests can be spread over several files.
  set(main ${CMAKE_CURRENT_BINARY_DIR}/${name}_main.cpp)
  file(CONFIGURE OUTPUT ${main}
    CONTENT "#define BOOST_TEST_MODULE ${name}\n#include <boost/test/unit_test.hpp>\n")
  add_executable(${name} ${main} ${ARG_SOURCES})
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(${name} PRIVATE ${ARG_DEPS} Boost::unit_test_framework)
  add_test(NAME ${name} COMMAND ${name} --log_level=test_suite)
endfunction()
