# Flags that every package of the workspace is built with.
add_library(camphor_flags INTERFACE)
target_compile_options(camphor_flags INTERFACE -Wall -Wextra -Werror -Wno-psabi -Wno-missing-field-initializers)
target_compile_definitions(camphor_flags INTERFACE BOOST_ASIO_NO_DEPRECATED
                           CAMPHOR_VERSION="${PROJECT_VERSION}")
target_include_directories(camphor_flags INTERFACE ${PROJECT_SOURCE_DIR})
if(CAMPHOR_SANITIZE)
  target_compile_options(camphor_flags INTERFACE -fsanitize=${CAMPHOR_SANITIZE}
                         -fno-sanitize-recover=all -fno-omit-frame-pointer)
  # Asio uses fences, which this sanitizer does not know; it warns of each.
  if(CAMPHOR_SANITIZE MATCHES "thread" AND CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
    target_compile_options(camphor_flags INTERFACE -Wno-tsan)
  endif()
  target_link_options(camphor_flags INTERFACE -fsanitize=${CAMPHOR_SANITIZE})
endif()

if(CAMPHOR_FUZZ)
  # Coverage of every package guides the fuzzers.
  target_compile_options(camphor_flags INTERFACE -fsanitize=fuzzer-no-link)
endif()

# Adds one package as a static library of every source below the current folder.
# Sources named main.cc, *_main.cc and *_test.cc are left to their programs.
function(camphor_package NAME)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS *.cc *.c++)
  list(FILTER SOURCES EXCLUDE REGEX "(main|_test|_fuzz)\\.cc$")
  if(NOT SOURCES)
    add_library(${NAME} INTERFACE)
    target_link_libraries(${NAME} INTERFACE camphor_flags ${ARG_DEPS})
    return()
  endif()
  add_library(${NAME} STATIC ${SOURCES})
  target_link_libraries(${NAME} PUBLIC camphor_flags ${ARG_DEPS})
endfunction()

# Adds one program from the named source, if it stands there.
function(camphor_program NAME SOURCE)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  if(EXISTS ${CMAKE_CURRENT_SOURCE_DIR}/${SOURCE})
    add_executable(${NAME} ${SOURCE})
    target_link_libraries(${NAME} PRIVATE camphor_flags ${ARG_DEPS})
    set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
  endif()
endfunction()

# Adds one GoogleTest program of every *_test.cc below FOLDER.
function(camphor_tests NAME FOLDER)
  cmake_parse_arguments(ARG "" "TIMEOUT" "DEPS;LABELS" ${ARGN})
  file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS ${FOLDER}/*.cc)
  if(NOT SOURCES)
    return()
  endif()
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 60)
  endif()
  add_executable(${NAME} ${SOURCES})
  target_link_libraries(${NAME} PRIVATE camphor_flags ${ARG_DEPS} camphor_gtest)
  set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
  gtest_discover_tests(${NAME} DISCOVERY_TIMEOUT 60
    PROPERTIES TIMEOUT ${ARG_TIMEOUT} LABELS "${ARG_LABELS}"
    ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
