#include "commands.h"

namespace gentianroute::ctl {

ExitCode Drain(const CommonOptions& common) {
  return RunCommand(common.json, [&]() -> leaf::result<ExitCode> {
    constexpr int kAccepted = 202;
    const HttpResult result =
        CallDaemon(common.daemon, "POST", "/v1/drain", {});
    if (!result.complete) {
      return leaf::new_error(
          Failure{kExitUnreachable,
                  common.daemon.Text() + " did not answer: " + result.detail});
    }
    if (result.status != kAccepted) {
      return leaf::new_error(Failure{kExitFailed, ProblemText(result)});
    }
    Print(common.json, {{"draining", true}},
          common.daemon.Text() +
              " finishes the requests it has accepted, then stops; running "
              "requests are not cut off\n");
    return kExitSuccess;
  });
}

}  // namespace gentianroute::ctl
