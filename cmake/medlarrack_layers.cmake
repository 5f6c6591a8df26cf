# Holds the line between decisions and transports: a decision library takes events and the time and returns actions,
# so it may link nothing of the workspace but other decision libraries.
set(MEDLARRACK_DECISION_LIBRARIES
    adapter_cache catalog core idempotency instances overload policy quota resumption routing suspects tickets trace)
# Transports know nothing of decisions.
set(MEDLARRACK_TRANSPORT_LIBRARIES agent_protocol http http1 peer)
set(MEDLARRACK_TRANSPORT_MAY_LINK agent_protocol core http http1 peer)

function(medlarrack_check_links library allowed)
    if(NOT TARGET medlarrack_${library})
        return()
    endif()
    get_target_property(links medlarrack_${library} LINK_LIBRARIES)
    foreach(link IN LISTS links)
        if(link MATCHES "^medlarrack::(.*)$")
            if(NOT CMAKE_MATCH_1 IN_LIST allowed)
                message(FATAL_ERROR "layering: library '${library}' may not link '${CMAKE_MATCH_1}'")
            endif()
        endif()
    endforeach()
endfunction()

function(medlarrack_check_layers)
    foreach(library IN LISTS MEDLARRACK_DECISION_LIBRARIES)
        medlarrack_check_links(${library} "${MEDLARRACK_DECISION_LIBRARIES}")
    endforeach()
    foreach(library IN LISTS MEDLARRACK_TRANSPORT_LIBRARIES)
        medlarrack_check_links(${library} "${MEDLARRACK_TRANSPORT_MAY_LINK}")
    endforeach()
endfunction()
