#include "test_folder.h"

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <set>
#include <stdexcept>
#include <system_error>
#include <vector>

#include <criterion/criterion.h>
#include <criterion/hooks.h>

namespace gentianroute::testing {
namespace {

std::filesystem::path Base() {
  const char* base = std::getenv("TMPDIR");
  return base == nullptr ? "/tmp" : base;
}

/// Prefix of the directories of a test. Each test runs in a child process; the
/// process id of the runner tells its directories from those of other runners.
std::string Prefix(pid_t runner, const criterion_test& test) {
  return "gentianroute-" + std::to_string(runner) + "-" + test.category + "-" +
         test.name + "-";
}

std::vector<std::filesystem::path> FoldersOf(const criterion_test& test) {
  const std::string prefix = Prefix(getpid(), test);
  std::vector<std::filesystem::path> found;
  std::error_code ignored;
  for (const auto& entry :
       std::filesystem::directory_iterator(Base(), ignored)) {
    if (entry.path().filename().string().starts_with(prefix)) {
      found.push_back(entry.path());
    }
  }
  return found;
}

void CleanUp(const criterion_test& test, bool passed) {
  for (const std::filesystem::path& folder : FoldersOf(test)) {
    if (passed) {
      std::error_code ignored;
      std::filesystem::remove_all(folder, ignored);
    } else {
      std::fprintf(stderr, "%s.%s failed; its files are in %s\n", test.category,
                   test.name, folder.c_str());
    }
  }
}

}  // namespace

std::string MakeTestFolder() {
  std::string path =
      Base() / (Prefix(getppid(), *criterion_current_test) + "XXXXXX");
  if (mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("can't create the directory of the test");
  }
  return path;
}

}  // namespace gentianroute::testing

ReportHook(POST_FINI)(criterion_test_stats* stats) {
  gentianroute::testing::CleanUp(*stats->test,
                                 stats->test_status == CR_STATUS_PASSED);
}

ReportHook(TEST_CRASH)(criterion_test_stats* stats) {
  gentianroute::testing::CleanUp(*stats->test, false);
}
