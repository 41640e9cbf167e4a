if(CICADALUG_TESTS)
    include(GoogleTest)
endif()

# Seed and number of cases of all property tests. To use another seed:
# RC_PARAMS="seed=N" build/packages/core/core_test
set(CICADALUG_RC_PARAMS "seed=20261204 max_success=100" CACHE STRING "RapidCheck parameters of the test run")

add_library(cicadalug_options INTERFACE)
target_compile_options(cicadalug_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wconversion)
# Asio 1.74 uses std::exchange in its coroutine support without including its header.
target_compile_options(cicadalug_options INTERFACE -include utility)
# Depending on what it inlines, GCC 12 reports a mismatched new and delete for the frames of Asio's coroutines, although
# they match.
target_compile_options(cicadalug_options INTERFACE -Wno-mismatched-new-delete)
target_compile_definitions(cicadalug_options INTERFACE BOOST_ASIO_NO_DEPRECATED)

# Adds a static library of all sources in src/, a test program of all sources in test/, and the benchmarks. The further
# arguments are the libraries to link.
function(cicadalug_add_library name)
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/src)
    target_link_libraries(${name} PUBLIC ${ARGN} PRIVATE cicadalug_options)
    cicadalug_add_tests(${name}_test ${name})
    cicadalug_add_benchmarks(${name} benchmark::benchmark)
endfunction()

# Adds one test program of all sources in test/. The further arguments are the libraries to link.
function(cicadalug_add_tests name)
    file(GLOB_RECURSE tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/test/*.cpp)
    if(NOT tests OR NOT CICADALUG_TESTS)
        return()
    endif()
    add_executable(${name} ${tests})
    target_include_directories(${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/test)
    target_link_libraries(${name} PRIVATE ${ARGN} cicadalug_options rapidcheck GTest::gtest_main)
    gtest_discover_tests(${name} DISCOVERY_MODE PRE_TEST
        PROPERTIES ENVIRONMENT "RC_PARAMS=${CICADALUG_RC_PARAMS}" TIMEOUT 120)
endfunction()

# Adds one program for each source in benchmark/.
function(cicadalug_add_benchmarks library)
    if(NOT CICADALUG_TESTS)
        return()
    endif()
    file(GLOB benchmarks CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/benchmark/*.cpp)
    foreach(source ${benchmarks})
        get_filename_component(stem ${source} NAME_WE)
        add_executable(benchmark_${stem} ${source})
        target_link_libraries(benchmark_${stem} PRIVATE ${library} ${ARGN} cicadalug_options)
    endforeach()
endfunction()
