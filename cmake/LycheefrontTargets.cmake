# Declares every target of the tree, so that flags and the layering stand in one place.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
    set(CMAKE_BUILD_TYPE RelWithDebInfo CACHE STRING "" FORCE)
endif()
# -O1 halves the build time of the Beast units against -O2; release builds set their own flags.
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O1 -g1")

set(LYCHEEFRONT_SANITIZE "" CACHE STRING "Sanitizers, e.g. address,undefined or thread")

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
    set(CMAKE_CXX_COMPILER_LAUNCHER "${CCACHE_PROGRAM}")
endif()

find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS json url context system unit_test_framework)
find_package(yaml-cpp REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED)
find_package(gflags REQUIRED)
find_package(spdlog REQUIRED)

add_library(lycheefront_flags INTERFACE)
target_compile_options(lycheefront_flags INTERFACE -Wall -Wextra -Werror)
# g++ 12 sees through the allocation of Asio's coroutine frames but not through their release, and takes the
# pair for a mismatch. The sanitizer build checks the same at run time (alloc_dealloc_mismatch).
target_compile_options(lycheefront_flags INTERFACE $<$<CXX_COMPILER_ID:GNU>:-Wno-mismatched-new-delete>)
target_compile_definitions(lycheefront_flags INTERFACE BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_DISABLE_IO_URING)
if(LYCHEEFRONT_SANITIZE)
    target_compile_options(lycheefront_flags INTERFACE -fsanitize=${LYCHEEFRONT_SANITIZE} -fno-omit-frame-pointer)
    target_link_options(lycheefront_flags INTERFACE -fsanitize=${LYCHEEFRONT_SANITIZE})
endif()

# lycheefront_library(NAME DEPENDS <libs below this one> SOURCES <files>)
# A library sees only the include folders of the libraries that it names, so an include that points
# up the layers does not compile. Headers are included as <lib>/<header>.h.
function(lycheefront_library name)
    cmake_parse_arguments(ARG "" "" "DEPENDS;SOURCES" ${ARGN})
    add_library(${name} STATIC ${ARG_SOURCES})
    file(MAKE_DIRECTORY "${CMAKE_BINARY_DIR}/include/${name}")
    file(CREATE_LINK "${CMAKE_CURRENT_SOURCE_DIR}" "${CMAKE_BINARY_DIR}/include/${name}/${name}" SYMBOLIC)
    target_include_directories(${name} PUBLIC "${CMAKE_BINARY_DIR}/include/${name}")
    target_link_libraries(${name} PUBLIC lycheefront_flags ${ARG_DEPENDS})
endfunction()

# lycheefront_program(NAME DEPENDS <libs> SOURCES <files>)
function(lycheefront_program name)
    cmake_parse_arguments(ARG "" "" "DEPENDS;SOURCES" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE lycheefront_flags ${ARG_DEPENDS})
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")
endfunction()

# lycheefront_test(NAME DEPENDS <libs> SOURCES <files> ARGS <arguments>)
# One Boost.Test program and one CTest entry. Tests run with the source tree as LYCHEEFRONT_SOURCE_DIR.
function(lycheefront_test name)
    cmake_parse_arguments(ARG "" "" "DEPENDS;SOURCES;ARGS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES} "${CMAKE_SOURCE_DIR}/tests/auto/testmain.cpp")
    target_link_libraries(${name} PRIVATE lycheefront_flags Boost::unit_test_framework ${ARG_DEPENDS})
    target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK LYCHEEFRONT_TEST_NAME="${name}"
        LYCHEEFRONT_SOURCE_DIR="${CMAKE_SOURCE_DIR}" LYCHEEFRONT_BIN_DIR="${CMAKE_BINARY_DIR}/bin")
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/tests")
    add_test(NAME ${name} COMMAND ${name} ${ARG_ARGS})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
