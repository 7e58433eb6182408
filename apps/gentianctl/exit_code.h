#ifndef GENTIANROUTE_APPS_GENTIANCTL_EXIT_CODE_H_
#define GENTIANROUTE_APPS_GENTIANCTL_EXIT_CODE_H_

namespace gentianroute::ctl {

/// @brief Exit codes of gentianctl; documented in docs/OPERATING.md.
enum ExitCode : int {
  kExitSuccess = 0,
  kExitFailed = 1,       ///< the daemon rejected the call or failed
  kExitInvalid = 2,      ///< a file or an argument is invalid
  kExitConflict = 3,     ///< another operator changed the same document
  kExitUnreachable = 4,  ///< no answer; an apply may have taken effect
  kExitTimeout = 5,      ///< applied, but not yet in force everywhere
  kExitDiffers = 6,      ///< diff only: an apply would change documents
};

}  // namespace gentianroute::ctl

#endif  // GENTIANROUTE_APPS_GENTIANCTL_EXIT_CODE_H_
