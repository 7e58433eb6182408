#ifndef GENTIANROUTE_TESTS_PROCESS_ALLOCATED_BYTES_H_
#define GENTIANROUTE_TESTS_PROCESS_ALLOCATED_BYTES_H_

#include <malloc.h>

#include <cstddef>

#if defined(__SANITIZE_ADDRESS__)
/// Of the address sanitizer, whose header not every compiler package has.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#endif

namespace gentianroute::testing {

/// @brief Memory that this process has allocated.
///
/// Resident memory would count what a sanitizer keeps after it has been freed.
inline std::size_t AllocatedBytes() {
#if defined(__SANITIZE_ADDRESS__)
  return __sanitizer_get_current_allocated_bytes();
#else
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
#endif
}

}  // namespace gentianroute::testing

#endif  // GENTIANROUTE_TESTS_PROCESS_ALLOCATED_BYTES_H_
