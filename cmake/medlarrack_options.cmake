# Language level, build type, sanitizers and the compiler cache.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")

if(NOT CMAKE_BUILD_TYPE)
    set(CMAKE_BUILD_TYPE RelWithDebInfo CACHE STRING "build type" FORCE)
endif()

# Line numbers of stack traces, without what only a debugger reads: a quarter of the time of compiling.
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1 -DNDEBUG")

find_program(MEDLARRACK_CCACHE ccache)
if(MEDLARRACK_CCACHE)
    set(CMAKE_CXX_COMPILER_LAUNCHER "${MEDLARRACK_CCACHE}")
endif()

# One of: empty, "address,undefined", "thread".
set(MEDLARRACK_SANITIZE "" CACHE STRING "sanitizers to build with")
if(MEDLARRACK_SANITIZE)
    # Optimizing the address sanitizer's checks would double the time of compiling.
    if(MEDLARRACK_SANITIZE STREQUAL "thread")
        set(sanitize_optimization -O1)
    else()
        set(sanitize_optimization -O0)
    endif()
    add_compile_options(-fsanitize=${MEDLARRACK_SANITIZE} -fno-omit-frame-pointer -fno-sanitize-recover=all
        ${sanitize_optimization} -g1)
    add_link_options(-fsanitize=${MEDLARRACK_SANITIZE})
endif()

# Asio finds out about aligned_alloc only when a standard header precedes it. Said here, so that all sources of a program
# agree on how its handlers are allocated and freed.
add_compile_definitions(ASIO_STANDALONE ASIO_HAS_STD_ALIGNED_ALLOC=1)
if(MEDLARRACK_SANITIZE STREQUAL "thread")
    # Asio's fences, which the thread sanitizer doesn't model; its scheduler's mutex orders the same accesses.
    add_compile_options(-Wno-tsan)
endif()

find_package(Threads REQUIRED)
