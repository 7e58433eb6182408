#ifndef GENTIANROUTE_TESTS_SOAK_SOAK_SERVERS_H_
#define GENTIANROUTE_TESTS_SOAK_SOAK_SERVERS_H_

#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fault_proxy.h"
#include "invariant_checker.h"
#include "platform/tests/fake_servers.h"

namespace gentianroute::soak {

/// @brief Fault settings of one server.
struct ServerFaults {
  double lost_responses = 0;   ///< share of responses replaced by a close
  double stray_responses = 0;  ///< share of responses followed by another one
  double slower = 1;           ///< factor on all processing times
  double broken_streams = 0;
};

/// @brief State that all servers of a run share.
struct ServerContext {
  EventLoop& loop;
  InvariantChecker& checker;
  platform::FakeStore& store;
  std::mt19937_64& random;
  std::set<std::string> results;  ///< stage results that can still be read
};

/// @brief A simulated backend server in this process, behind a FaultProxy.
class SoakServer {
 public:
  SoakServer(ServerContext& context,
             std::string service,
             std::string data_centre);
  virtual ~SoakServer();
  SoakServer(const SoakServer&) = delete;
  SoakServer& operator=(const SoakServer&) = delete;

  const std::string& service() const { return service_; }
  bool up() const { return up_; }

  /// @brief Registers in the server list as a new incarnation.
  void Start(bool under_old_id);
  /// @brief Starts under a new id with another version of its software.
  void StartVersion(std::string software_version);
  /// @brief Stops without notice; the list drops it after a delay.
  void Crash();
  /// @brief Registers as draining, continues to serve for kDrainTime, then
  /// stops.
  void Drain();
  void SetFaults(const ServerFaults& faults);
  FaultProxy& link() { return *link_; }
  /// @brief Sets a link fault; running and new requests may be interrupted.
  void ImpairLink(FaultProxy::Mode mode, Duration delay);
  void RestoreLink();
  void SilenceOpenLinks();

 protected:
  using Peer = platform::RawServer::Connection;

  /// @brief Handles a request that is addressed to this incarnation.
  virtual void Run(Peer& peer,
                   const MessageHead& head,
                   const std::string& body) = 0;
  bool Draw(double share);
  void After(Duration time, std::function<void()> then);
  void SendAnswer(Peer& peer,
                  const std::string& id,
                  const std::string& fields,
                  const std::string& body);
  void RefuseNotRun(Peer& peer, int status);

  virtual void OnEnd() {}

  ServerContext& context_;
  ServerFaults faults_;
  std::string software_version_ = "v1";
  std::set<std::string> running_;  ///< requests that a fault would interrupt
  std::uint64_t start_count_ = 0;  ///< also tells incarnations apart

  /// @brief Reports the start of a run to the checker.
  /// @return the signature of the run
  std::string BeginRun(const std::string& id,
                       const MessageHead& head,
                       const std::string& body);

 private:
  void OnRequest(Peer& peer, const MessageHead& head, const std::string& body);
  void WriteRow(const std::string& state);
  void End();
  void AllowIncompleteResponses();

  std::string service_;
  std::string data_centre_;
  std::string id_;
  std::unique_ptr<platform::RawServer> server_;
  std::unique_ptr<FaultProxy> link_;
  bool up_ = false;
};

/// @brief Serves requests that are not streams.
class PlainServer final : public SoakServer {
 public:
  using SoakServer::SoakServer;

 private:
  void Run(Peer& peer,
           const MessageHead& head,
           const std::string& body) override;
};

/// @brief Streams events, after checking that its stage inputs exist.
class ModelServer final : public SoakServer {
 public:
  using SoakServer::SoakServer;

 private:
  struct Stream;

  void Run(Peer& peer,
           const MessageHead& head,
           const std::string& body) override;
  void SendEvent(const std::shared_ptr<Stream>& stream);
};

/// @brief Runs segments of a stage, one call at a time.
class StageServer final : public SoakServer {
 public:
  using SoakServer::SoakServer;

 private:
  void Run(Peer& peer,
           const MessageHead& head,
           const std::string& body) override;
  void OnEnd() override;
  std::string RunSegments(const std::string& body);
  void FreeResults(const std::string& body);

  bool busy_ = false;
  std::set<std::string> results_;
};

}  // namespace gentianroute::soak

#endif  // GENTIANROUTE_TESTS_SOAK_SOAK_SERVERS_H_
