# filberthub_library(NAME [LINK targets...])
#
# Builds src/NAME/*.cpp as the static library filberthub_NAME and
# test/NAME/*.cpp as the test program NAME_test.
function(filberthub_library name)
    cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS
        ${PROJECT_SOURCE_DIR}/src/${name}/*.cpp
        ${PROJECT_SOURCE_DIR}/src/${name}/*.c++)
    list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
    set(target filberthub_${name})
    if(sources)
        add_library(${target} STATIC ${sources})
        set(scope PUBLIC)
    else()
        add_library(${target} INTERFACE)
        set(scope INTERFACE)
    endif()
    target_include_directories(${target} ${scope}
        ${PROJECT_SOURCE_DIR}/include ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(${target} ${scope} ${ARG_LINK})
    filberthub_test(${name} ${target})
endfunction()

# filberthub_test(NAME libraries...)
#
# Builds test/NAME/*.cpp as the test program NAME_test, if any exist.
function(filberthub_test name)
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS
        ${PROJECT_SOURCE_DIR}/test/${name}/*.cpp)
    if(NOT sources OR NOT FILBERTHUB_TESTS)
        return()
    endif()
    add_executable(${name}_test ${sources})
    target_include_directories(${name}_test PRIVATE
        ${PROJECT_SOURCE_DIR}/test)
    target_link_libraries(${name}_test PRIVATE
        ${ARGN} GTest::gmock ${RAPIDCHECK_LIBRARY})
    # Tests that need the Qt event loop have their own main.cpp.
    if(EXISTS ${PROJECT_SOURCE_DIR}/test/${name}/main.cpp)
        target_link_libraries(${name}_test PRIVATE GTest::gtest)
    else()
        target_link_libraries(${name}_test PRIVATE GTest::gtest_main)
    endif()
    target_compile_definitions(${name}_test PRIVATE
        FILBERTHUB_SOURCE_DIR="${PROJECT_SOURCE_DIR}"
        FILBERTHUB_BINARY_DIR="${PROJECT_BINARY_DIR}")
    add_test(NAME ${name} COMMAND ${name}_test)
    # A fixed seed of RapidCheck makes runs reproducible.
    set_tests_properties(${name} PROPERTIES TIMEOUT 300
        ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()

# filberthub_program(NAME FOLDER [LINK targets...])
#
# Builds the program NAME from src/app/main.cpp if FOLDER is `app`, else from
# all sources of FOLDER. Does nothing if there are no sources.
function(filberthub_program name folder)
    cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
    if(folder STREQUAL "app")
        file(GLOB sources CONFIGURE_DEPENDS
            ${PROJECT_SOURCE_DIR}/src/app/main.cpp)
    else()
        file(GLOB_RECURSE sources CONFIGURE_DEPENDS
            ${PROJECT_SOURCE_DIR}/${folder}/*.cpp)
    endif()
    if(NOT sources)
        return()
    endif()
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR})
    target_link_libraries(${name} PRIVATE ${ARG_LINK})
endfunction()
