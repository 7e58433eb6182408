#include "gentianroute/base/check.h"

#include <cstdio>
#include <cstdlib>

namespace gentianroute::detail {

void InvariantBroken(std::string_view expression,
                     std::string_view file,
                     int line) {
  std::fprintf(stderr,
               "level=fatal event=invariant_broken file=%.*s line=%d "
               "expression=\"%.*s\"\n",
               static_cast<int>(file.size()), file.data(), line,
               static_cast<int>(expression.size()), expression.data());
  std::abort();
}

}  // namespace gentianroute::detail
