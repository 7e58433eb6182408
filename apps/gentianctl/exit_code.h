#ifndef GENTIANROUTE_APPS_GENTIANCTL_EXIT_CODE_H_
#define GENTIANROUTE_APPS_GENTIANCTL_EXIT_CODE_H_

namespace gentianroute::ctl {

/// @brief What gentianctl exits with; documented in docs/OPERATING.md.
enum ExitCode : int {
  kExitSuccess = 0,
  kExitFailed = 1,       ///< the daemon refused, or made a mistake
  kExitInvalid = 2,      ///< a file or an argument has an error
  kExitConflict = 3,     ///< somebody else changed the same document
  kExitUnreachable = 4,  ///< no answer; an apply may or may not stand
  kExitTimeout = 5,      ///< applied, but not yet in force everywhere
  kExitDiffers = 6,      ///< diff only: an apply would change something
};

}  // namespace gentianroute::ctl

#endif  // GENTIANROUTE_APPS_GENTIANCTL_EXIT_CODE_H_
