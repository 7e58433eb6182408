#ifndef GENTIANROUTE_TESTS_RANDOM_FAKE_BACKENDS_H_
#define GENTIANROUTE_TESTS_RANDOM_FAKE_BACKENDS_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "decision_fixture.h"
#include "event_queue.h"

namespace gentianroute::testing {

/// @brief One incarnation of one daemon.
struct DaemonId {
  std::size_t index = 0;
  std::uint64_t incarnation = 0;
  friend auto operator<=>(const DaemonId&, const DaemonId&) = default;
};

/// @brief One stage call as the far end sees it.
struct BackendCall {
  DaemonId from;
  RequestId request;
  AttemptId attempt;
  std::string server;
  std::string stage;
  std::string marker;  ///< of the request that it was sent for
  std::uint64_t resume_offset = 0;
};

/// @brief What the backend servers report to.
class BackendObserver {
 public:
  using Event = std::function<void(Coordinator&, TimePoint)>;
  virtual ~BackendObserver() = default;
  /// @brief The server has begun to work on the call.
  virtual void OnRun(const BackendCall& call) = 0;
  /// @brief A poisonous request has crashed a server.
  virtual void OnPoisonCrash(const BackendCall& call) = 0;
  /// @brief Something comes back over the network.
  virtual void Deliver(DaemonId to, Event event) = 0;
};

/// @brief The text that every engine generates for a marker, by token.
std::string ExpectedToken(const std::string& marker, std::uint64_t offset);
inline constexpr std::uint64_t kTokensPerStream = 6;

/// @brief Backend servers that crash, refuse, and whose answers come late,
/// twice, crossed, cut short or not at all.
class FakeBackends {
 public:
  FakeBackends(EventQueue& events,
               RandomSource& random,
               BackendObserver& observer);

  /// @brief The call's bytes are on their way.
  void Send(const BackendCall& call);
  /// @return false: no connection
  bool IsUp(const std::string& server) const;
  void Cancel(DaemonId from, AttemptId attempt);
  std::vector<HostRecord> Hosts() const;
  /// @brief A server dies of a fault of its own.
  void CrashRandomServer();

 private:
  using CallKey = std::pair<DaemonId, AttemptId>;
  struct FakeServer {
    HostRecord host;
    bool up = true;
    std::map<CallKey, BackendCall> in_flight;
  };

  void OnArrival(const BackendCall& call);
  void Crash(FakeServer& server);
  void CompleteCall(const BackendCall& call);
  void SendToken(const BackendCall& call, std::uint64_t offset);
  bool RemoveCall(const BackendCall& call);
  bool IsRunning(const BackendCall& call) const;
  void SendAnswer(const BackendCall& call, int status, bool not_run);
  void SendCrossedAnswer(const BackendCall& call);
  void SendFailure(const BackendCall& call, AttemptFailure failure);

  EventQueue& events_;
  RandomSource& random_;
  BackendObserver& observer_;
  std::map<std::string, FakeServer> servers_;
  std::set<CallKey> cancelled_;
};

}  // namespace gentianroute::testing

#endif  // GENTIANROUTE_TESTS_RANDOM_FAKE_BACKENDS_H_
