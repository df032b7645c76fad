# All external libraries. cpp-httplib must be used with the compile flags of its pkg-config file;
# with others, its class layouts differ between the headers and the compiled library.
find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
find_package(TBB REQUIRED)
find_package(spdlog REQUIRED)
find_package(gflags REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS unit_test_framework)
pkg_check_modules(httplib REQUIRED IMPORTED_TARGET cpp-httplib)
pkg_check_modules(openssl REQUIRED IMPORTED_TARGET openssl)
pkg_check_modules(jsoncpp REQUIRED IMPORTED_TARGET jsoncpp)
pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(prometheus REQUIRED IMPORTED_TARGET prometheus-cpp-core)
pkg_check_modules(jsonrpc REQUIRED IMPORTED_TARGET libjsonrpccpp-client libjsonrpccpp-server)

if(SAPPHIREWIND_SANITIZE)
  # Little optimisation: the instrumented code takes several times as long to compile with more.
  add_compile_options(-fsanitize=address,undefined -fno-omit-frame-pointer -O1)
  add_link_options(-fsanitize=address,undefined)
endif()
if(SAPPHIREWIND_ASSERTS)
  string(REPLACE "-DNDEBUG" "" CMAKE_CXX_FLAGS_RELEASE "${CMAKE_CXX_FLAGS_RELEASE}")
endif()
add_compile_options(-Wall -Wextra -Wno-missing-field-initializers -Wno-restrict)
