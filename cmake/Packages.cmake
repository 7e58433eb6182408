# Warnings for every hand-written target; generated code is exempt. When GCC 12
# optimises, it falsely warns of overlapping copies in std::string's operator+;
# later versions don't, so -Wrestrict is off in release builds.
add_library(gentianroute_warnings INTERFACE)
target_compile_options(gentianroute_warnings INTERFACE -Wall -Wextra -Werror
                                                       -Wno-missing-field-initializers
                       $<$<CONFIG:Release>:-Wno-restrict>)

# Instrumented code makes GCC 12 warn falsely in headers of Cap'n Proto.
if(GENTIANROUTE_SANITIZE)
  target_compile_options(gentianroute_warnings INTERFACE -Wno-maybe-uninitialized)
endif()

# gentianroute_package(<name> DEPS <targets>): defines the library of
# packages/<name> from all src/*.cc, and its tests as gentianroute_tests() does.
function(gentianroute_package name)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cc)
  add_library(gentianroute_${name} STATIC ${sources})
  target_include_directories(gentianroute_${name} PUBLIC include)
  target_link_libraries(gentianroute_${name} PUBLIC ${ARG_DEPS}
                                             PRIVATE gentianroute_warnings)
  gentianroute_tests(${name} gentianroute_${name})
endfunction()

# gentianroute_tests(<group> <targets>): builds each tests/*_test.cc of the
# current directory as a Criterion program of its own, linked to the targets, and
# registers it with CTest as <group>.<file name>.
function(gentianroute_tests group)
  if(NOT GENTIANROUTE_DEVELOPMENT)
    return()
  endif()
  file(GLOB tests CONFIGURE_DEPENDS tests/*_test.cc)
  foreach(test ${tests})
    get_filename_component(stem ${test} NAME_WE)
    set(target ${group}_${stem})
    add_executable(${target} ${test})
    target_link_libraries(${target} PRIVATE ${ARGN} criterion
                                            gentianroute_warnings)
    add_test(NAME ${group}.${stem} COMMAND ${target} -j1)
    set_tests_properties(${group}.${stem} PROPERTIES TIMEOUT 300)
  endforeach()
endfunction()
