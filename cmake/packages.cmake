# A package is libs/NAME with include/, src/ and tests/. src/ may have one level
# of subfolders; includes are relative to src/. A package's CMakeLists.txt lists
# only its dependencies: sources and tests are found by pattern, so that adding a
# file needs no edit.

add_library(knap_test_main STATIC ${CMAKE_SOURCE_DIR}/cmake/test_main.cc)

# knap_library(NAME DEPS target...) builds the package and registers its tests;
# a package without sources becomes an INTERFACE library.
function(knap_library NAME)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cc src/*/*.cc)
  if(sources)
    add_library(knap_${NAME} STATIC ${sources})
    target_include_directories(knap_${NAME} PRIVATE src)
    set(scope PUBLIC)
  else()
    add_library(knap_${NAME} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(knap_${NAME} ${scope} include)
  target_link_libraries(knap_${NAME} ${scope} ${ARG_DEPS})
  file(GLOB tests CONFIGURE_DEPENDS tests/*_test.cc)
  if(tests AND BUILD_TESTING)
    add_executable(${NAME}_tests ${tests})
    target_include_directories(${NAME}_tests PRIVATE src tests)
    target_link_libraries(${NAME}_tests PRIVATE knap_${NAME} knap_test_main)
    add_test(NAME ${NAME} COMMAND ${NAME}_tests)
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 120)
  endif()
endfunction()

# knap_program(NAME DEPS target...) builds a program from apps/NAME/*.cc and
# apps/NAME/src/*.cc.
function(knap_program NAME)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cc src/*.cc)
  add_executable(${NAME} ${sources})
  target_include_directories(${NAME} PRIVATE src)
  target_link_libraries(${NAME} PRIVATE ${ARG_DEPS})
endfunction()
