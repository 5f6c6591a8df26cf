# Warnings for our own code; system headers of libraries are left out.
add_library(medlarrack_warnings INTERFACE)
target_compile_options(medlarrack_warnings INTERFACE
    -Wall -Wextra -Wpedantic -Werror
    -Wshadow -Wnon-virtual-dtor -Wold-style-cast -Woverloaded-virtual
    -Wcast-align -Wunused -Wimplicit-fallthrough
    # Left-out members take their default initializers.
    -Wno-missing-field-initializers
)
# g++ 12 reports false positives of these in optimized standard library code.
target_compile_options(medlarrack_warnings INTERFACE -Wno-error=maybe-uninitialized -Wno-error=restrict
    -Wno-error=stringop-overflow -Wno-error=array-bounds)
