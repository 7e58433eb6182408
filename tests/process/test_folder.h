#ifndef GENTIANROUTE_TESTS_PROCESS_TEST_FOLDER_H_
#define GENTIANROUTE_TESTS_PROCESS_TEST_FOLDER_H_

#include <string>

namespace gentianroute::testing {

/// @brief Makes a folder for the files of the test that runs. The runner
/// removes it when the test has passed; it keeps it, and prints its path, when
/// the test has failed or crashed.
/// @return its path
/// @throws std::runtime_error if it can't be made
std::string MakeTestFolder();

}  // namespace gentianroute::testing

#endif  // GENTIANROUTE_TESTS_PROCESS_TEST_FOLDER_H_
