# One library target for each folder of lib/. A library names only libraries of
# lower layers; this is checked here, so that no library includes a higher one.
set(ACACIAHOLD_LAYERS
    Support Json Yaml Observe Packet Table Catalog Directory Load Config
    Consensus Storage Membership Upstream Admission Steering Wire Link Entry Request Http
    Node Explain Host Operator)

function(acaciahold_library name)
  cmake_parse_arguments(ARG "" "" "USES;LINKS" ${ARGN})
  list(FIND ACACIAHOLD_LAYERS ${name} own_layer)
  if(own_layer EQUAL -1)
    message(FATAL_ERROR "library ${name} has no place in ACACIAHOLD_LAYERS")
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cc)
  list(FILTER sources EXCLUDE REGEX "[.]pb[.]cc$")
  add_library(acaciahold_${name} STATIC ${sources})
  target_link_libraries(acaciahold_${name} PUBLIC acaciahold_options ${ARG_LINKS})
  foreach(used ${ARG_USES})
    list(FIND ACACIAHOLD_LAYERS ${used} used_layer)
    if(used_layer EQUAL -1 OR NOT used_layer LESS own_layer)
      message(FATAL_ERROR "library ${name} may not use ${used}: not a lower layer")
    endif()
    target_link_libraries(acaciahold_${name} PUBLIC acaciahold_${used})
  endforeach()
endfunction()
