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

/// @brief One daemon between two restarts.
struct DaemonId {
  std::size_t index = 0;
  std::uint64_t incarnation = 0;
  friend auto operator<=>(const DaemonId&, const DaemonId&) = default;
};

/// @brief One stage call as the backend server receives it.
struct BackendCall {
  DaemonId from;
  RequestId request;
  AttemptId attempt;
  std::string server;
  std::string stage;
  std::string marker;  ///< identifies the request
  std::uint64_t resume_offset = 0;
};

/// @brief Receives the events of the backend servers.
class BackendObserver {
 public:
  using Event = std::function<void(Coordinator&, TimePoint)>;
  virtual ~BackendObserver() = default;
  /// @brief A server has begun to run the call.
  virtual void OnRun(const BackendCall& call) = 0;
  /// @brief A poison request has crashed a server.
  virtual void OnPoisonCrash(const BackendCall& call) = 0;
  /// @brief Delivers an event to a daemon over the network.
  virtual void Deliver(DaemonId to, Event event) = 0;
};

/// @brief The token that every engine generates for a marker at an offset.
std::string ExpectedToken(const std::string& marker, std::uint64_t offset);
inline constexpr std::uint64_t kTokensPerStream = 6;

/// @brief Backend servers that crash and reject calls, and whose answers are
/// late, duplicated, swapped, truncated or missing.
class FakeBackends {
 public:
  FakeBackends(EventQueue& events,
               RandomSource& random,
               BackendObserver& observer);

  /// @brief Sends a call over the network.
  void Send(const BackendCall& call);
  /// @return whether the server accepts connections
  bool IsUp(const std::string& server) const;
  void Cancel(DaemonId from, AttemptId attempt);
  std::vector<HostRecord> Hosts() const;
  /// @brief Crashes a random server for a reason other than a request.
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
  /// Removes a call from its server.
  /// @return false if it was not running or was cancelled
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
