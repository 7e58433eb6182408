#ifndef GENTIANROUTE_TESTS_PROCESS_TEST_FOLDER_H_
#define GENTIANROUTE_TESTS_PROCESS_TEST_FOLDER_H_

#include <string>

namespace gentianroute::testing {

/// @brief Creates a directory for the files of the running test. The test
/// runner removes it if the test passes, and otherwise keeps it and prints its
/// path.
/// @return its path
/// @throws std::runtime_error if it can't be created
std::string MakeTestFolder();

}  // namespace gentianroute::testing

#endif  // GENTIANROUTE_TESTS_PROCESS_TEST_FOLDER_H_
