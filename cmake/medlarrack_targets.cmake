# Helpers that declare a library, a program or a test of the workspace.

# medlarrack_library(NAME <name> SOURCES ... [DEPENDS <workspace libraries>] [LINKS <outside libraries, private>]
#                    [LINKS_PUBLIC <outside libraries>])
function(medlarrack_library)
    cmake_parse_arguments(ARG "" "NAME" "SOURCES;DEPENDS;LINKS;LINKS_PUBLIC" ${ARGN})
    set(target medlarrack_${ARG_NAME})
    add_library(${target} STATIC ${ARG_SOURCES})
    add_library(medlarrack::${ARG_NAME} ALIAS ${target})
    target_include_directories(${target} PUBLIC include PRIVATE src)
    list(TRANSFORM ARG_DEPENDS PREPEND medlarrack::)
    target_link_libraries(${target}
        PUBLIC ${ARG_DEPENDS} ${ARG_LINKS_PUBLIC} Threads::Threads
        PRIVATE medlarrack_warnings ${ARG_LINKS})
endfunction()

# medlarrack_program(NAME <name> SOURCES ... [DEPENDS ...] [LINKS ...])
function(medlarrack_program)
    cmake_parse_arguments(ARG "" "NAME" "SOURCES;DEPENDS;LINKS" ${ARGN})
    add_executable(${ARG_NAME} ${ARG_SOURCES})
    list(TRANSFORM ARG_DEPENDS PREPEND medlarrack::)
    target_link_libraries(${ARG_NAME} PRIVATE medlarrack_warnings ${ARG_DEPENDS} ${ARG_LINKS} Threads::Threads)
    target_compile_definitions(${ARG_NAME} PRIVATE MEDLARRACK_VERSION="${PROJECT_VERSION}")
endfunction()

# Optimizes what follows in this folder also for a sanitizer: the simulations of libs/config_sync and libs/idempotency,
# and what they run through, take minutes otherwise.
macro(medlarrack_optimize_with_sanitizers)
    if(MEDLARRACK_SANITIZE)
        add_compile_options(-O1)
    endif()
endmacro()

# All test programs, and those of them that start threads: what the sanitizers look at.
add_custom_target(medlarrack_tests)
add_custom_target(medlarrack_thread_tests)

# medlarrack_test(NAME <name> SOURCES ... [DEPENDS ...] [LINKS ...] [LABELS ...] [THREADS] [SERIAL_CASES <suite/case> ...])
# Sources hold Boost.Test cases without a main function. THREADS: they start threads, so the thread sanitizer runs them.
# SERIAL_CASES: each case is a test of its own, "<name>.<suite>.<case>", which runs beside no other test.
function(medlarrack_test)
    if(NOT MEDLARRACK_SCOPE STREQUAL "all")
        return()
    endif()
    cmake_parse_arguments(ARG "THREADS" "NAME" "SOURCES;DEPENDS;LINKS;LABELS;SERIAL_CASES" ${ARGN})
    set(target test_${ARG_NAME})
    add_executable(${target} ${PROJECT_SOURCE_DIR}/cmake/test_main.cpp ${ARG_SOURCES})
    list(TRANSFORM ARG_DEPENDS PREPEND medlarrack::)
    target_compile_definitions(${target} PRIVATE BOOST_TEST_DYN_LINK MEDLARRACK_TEST_NAME=${ARG_NAME})
    target_link_libraries(${target} PRIVATE medlarrack_warnings ${ARG_DEPENDS} ${ARG_LINKS}
        boost_unit_test_framework Threads::Threads)
    set(tests ${ARG_NAME})
    if(ARG_SERIAL_CASES)
        set(tests "")
        foreach(case IN LISTS ARG_SERIAL_CASES)
            string(REPLACE "/" "." test "${ARG_NAME}.${case}")
            add_test(NAME ${test} COMMAND ${target} --run_test=${case} --log_level=test_suite --report_level=short)
            set_tests_properties(${test} PROPERTIES RUN_SERIAL TRUE)
            list(APPEND tests ${test})
        endforeach()
    else()
        add_test(NAME ${ARG_NAME} COMMAND ${target} --log_level=test_suite --report_level=short)
    endif()
    add_dependencies(medlarrack_tests ${target})
    if(ARG_THREADS)
        list(APPEND ARG_LABELS threads)
        add_dependencies(medlarrack_thread_tests ${target})
    elseif(NOT MEDLARRACK_SANITIZE)
        target_compile_definitions(${target} PRIVATE MEDLARRACK_TEST_SINGLE_THREADED)
    endif()
    set_tests_properties(${tests} PROPERTIES TIMEOUT 900 LABELS "${ARG_LABELS}")
endfunction()

# medlarrack_fuzz(LIBRARY <name> SOURCES ...)
# Compiles the drivers of scripts/fuzz with the warnings of the build, so that they are linted like the rest; the script
# links them with clang's fuzzer.
function(medlarrack_fuzz)
    if(NOT MEDLARRACK_SCOPE STREQUAL "all")
        return()
    endif()
    cmake_parse_arguments(ARG "" "LIBRARY" "SOURCES" ${ARGN})
    set(target fuzz_${ARG_LIBRARY})
    add_library(${target} OBJECT ${ARG_SOURCES})
    target_link_libraries(${target} PRIVATE medlarrack_warnings medlarrack::${ARG_LIBRARY})
endfunction()
