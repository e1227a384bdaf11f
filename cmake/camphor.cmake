# Compile and link flags of all targets.
add_library(camphor_flags INTERFACE)
target_compile_options(camphor_flags INTERFACE -Wall -Wextra -Werror -Wno-psabi -Wno-missing-field-initializers)
target_compile_definitions(camphor_flags INTERFACE BOOST_ASIO_NO_DEPRECATED
                           CAMPHOR_VERSION="${PROJECT_VERSION}")
target_include_directories(camphor_flags INTERFACE ${PROJECT_SOURCE_DIR})
if(CAMPHOR_SANITIZE)
  target_compile_options(camphor_flags INTERFACE -fsanitize=${CAMPHOR_SANITIZE}
                         -fno-sanitize-recover=all -fno-omit-frame-pointer)
  # Asio uses atomic_thread_fence, which ThreadSanitizer does not support; GCC warns at each use.
  if(CAMPHOR_SANITIZE MATCHES "thread" AND CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
    target_compile_options(camphor_flags INTERFACE -Wno-tsan)
  endif()
  target_link_options(camphor_flags INTERFACE -fsanitize=${CAMPHOR_SANITIZE})
endif()

if(CAMPHOR_FUZZ)
  # Instruments all packages for the coverage feedback of the fuzzers.
  target_compile_options(camphor_flags INTERFACE -fsanitize=fuzzer-no-link)
endif()

# Adds one package as a static library of all sources below the current folder, except sources of programs:
# *main.cc, *_test.cc and *_fuzz.cc.
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

# Adds one program from the given source, if the file exists.
function(camphor_program NAME SOURCE)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  if(EXISTS ${CMAKE_CURRENT_SOURCE_DIR}/${SOURCE})
    add_executable(${NAME} ${SOURCE})
    target_link_libraries(${NAME} PRIVATE camphor_flags ${ARG_DEPS})
    set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
  endif()
endfunction()

# Adds one GoogleTest program of all *.cc files below FOLDER. With SERIAL, ctest runs nothing else beside each test.
function(camphor_tests NAME FOLDER)
  cmake_parse_arguments(ARG "SERIAL" "TIMEOUT" "DEPS;LABELS" ${ARGN})
  file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS ${FOLDER}/*.cc)
  if(NOT SOURCES)
    return()
  endif()
  # The time-out only ends tests that hang. It is not a performance check, and sanitizers slow tests down many times.
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 60)
  endif()
  if(CAMPHOR_SANITIZE)
    math(EXPR ARG_TIMEOUT "${ARG_TIMEOUT} * 10")
  endif()
  add_executable(${NAME} ${SOURCES})
  target_link_libraries(${NAME} PRIVATE camphor_flags ${ARG_DEPS} camphor_gtest)
  set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
  gtest_discover_tests(${NAME} DISCOVERY_TIMEOUT 60
    PROPERTIES TIMEOUT ${ARG_TIMEOUT} RUN_SERIAL ${ARG_SERIAL} LABELS "${ARG_LABELS}"
    ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
