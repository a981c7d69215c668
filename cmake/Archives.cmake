# Libraries that are linked from their archives. An entry host on a twentieth of
# a core spends most of its start on loading shared libraries, and callers wait.

# archive::NAME is libNAME.a; further arguments are targets that it needs.
function(acaciahold_archive name)
  find_library(ACACIAHOLD_ARCHIVE_${name} NAMES lib${name}.a REQUIRED)
  add_library(archive::${name} STATIC IMPORTED GLOBAL)
  set_target_properties(archive::${name} PROPERTIES
    IMPORTED_LOCATION ${ACACIAHOLD_ARCHIVE_${name}}
    INTERFACE_LINK_LIBRARIES "${ARGN}")
endfunction()

acaciahold_archive(boost_json)
acaciahold_archive(yaml-cpp)
acaciahold_archive(popt)
acaciahold_archive(protobuf-lite)
acaciahold_archive(opentracing)
acaciahold_archive(opentracing_mocktracer archive::opentracing)
acaciahold_archive(gflags)
# libunwind's archive can't be part of an executable at a random address.
acaciahold_archive(glog archive::gflags unwind)
