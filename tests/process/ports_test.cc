#include <cstdint>
#include <set>

#include <criterion/criterion.h>

#include "process.h"

using gentianroute::testing::FreePort;

// A test fails now and then with "the daemon did not come up": one port had
// been drawn for two of the daemon's addresses, and it could not listen on the
// second.
Test(ports, no_port_is_given_twice) {
  constexpr int kPorts = 3000;
  std::set<std::uint16_t> given;
  for (int i = 0; i < kPorts; ++i) {
    cr_assert(given.insert(FreePort()).second);
  }
}
