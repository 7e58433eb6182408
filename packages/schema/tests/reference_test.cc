#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

#include "gentianroute/schema/reference.h"

#include <criterion/criterion.h>

namespace {

std::string ReadPage(const std::string& name) {
  std::ifstream file(std::string(GENTIANROUTE_SOURCE_DIR "/docs/") + name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

Test(reference, page_has_the_tables_of_the_compiled_schema) {
  const std::string page = ReadPage("REFERENCE.md");
  cr_assert(page.find(gentianroute::SettingsReference()) != std::string::npos,
            "write `gentianctl reference settings` into docs/REFERENCE.md");
  cr_assert(page.find(gentianroute::ProfilesReference()) != std::string::npos,
            "write `gentianctl reference profiles` into docs/REFERENCE.md");
}

Test(reference, every_field_has_a_meaning) {
  std::istringstream lines(gentianroute::SettingsReference() +
                           gentianroute::ProfilesReference());
  std::string line;
  while (std::getline(lines, line)) {
    cr_expect(!line.ends_with("|  |"), "%s", line.c_str());
  }
}

Test(reference, operating_page_has_the_table_of_error_kinds) {
  const std::string page = ReadPage("OPERATING.md");
  cr_assert(page.find(gentianroute::ErrorsReference()) != std::string::npos,
            "write `gentianctl reference errors` into docs/OPERATING.md");
}
