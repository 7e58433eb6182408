#ifndef GENTIANROUTE_TESTS_SOAK_SOAK_SERVERS_H_
#define GENTIANROUTE_TESTS_SOAK_SOAK_SERVERS_H_

#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fault_proxy.h"
#include "platform/tests/fake_servers.h"
#include "promises.h"

namespace gentianroute::soak {

/// @brief Figures of the faults of one server that has them.
struct ServerFaults {
  double lost_answers = 0;   ///< share of runs whose connection then closes
  double stray_answers = 0;  ///< share of answers with another one behind them
  double slower = 1;         ///< times as long
  double broken_streams = 0;
};

/// @brief What all servers of a run share.
struct ServerWorld {
  EventLoop& loop;
  Promises& promises;
  platform::FakeStore& store;
  std::mt19937_64& random;
  std::set<std::string> results;  ///< of stages, that can still be read
};

/// @brief A backend server that this process plays, behind a harmable link.
class SoakServer {
 public:
  SoakServer(ServerWorld& world, std::string service, std::string data_centre);
  virtual ~SoakServer();
  SoakServer(const SoakServer&) = delete;
  SoakServer& operator=(const SoakServer&) = delete;

  const std::string& service() const { return service_; }
  bool up() const { return up_; }

  /// @brief Appears in the list, as a new incarnation.
  void Start(bool under_old_id);
  /// @brief Ends without a word; the list shows it later.
  void Crash();
  /// @brief Tells that it leaves, goes on for a while, then ends.
  void Leave();
  void SetFaults(const ServerFaults& faults);
  FaultProxy& link() { return *link_; }
  /// @brief Requests that it has now, or will get, may be cut by a fault.
  void HarmLink(FaultProxy::Mode mode, Duration delay);
  void HealLink();
  void SilenceOpenLinks();

 protected:
  using Peer = platform::RawServer::Connection;

  /// @brief Does what the server is for; the request is meant for it.
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

  ServerWorld& world_;
  ServerFaults faults_;
  std::set<std::string> running_;  ///< requests that a fault here would cut
  std::uint64_t life_ = 0;         ///< counts starts

  /// @brief Notes that a request begins to run here.
  std::string BeginRun(const std::string& id,
                       const MessageHead& head,
                       const std::string& body);

 private:
  void OnRequest(Peer& peer, const MessageHead& head, const std::string& body);
  void WriteRow(const std::string& state);
  void End();
  void ExcuseRunning();

  std::string service_;
  std::string data_centre_;
  std::string id_;
  std::unique_ptr<platform::RawServer> server_;
  std::unique_ptr<FaultProxy> link_;
  bool up_ = false;
};

/// @brief Answers plain requests.
class PlainServer final : public SoakServer {
 public:
  using SoakServer::SoakServer;

 private:
  void Run(Peer& peer,
           const MessageHead& head,
           const std::string& body) override;
};

/// @brief Streams events, behind inputs that stages have made.
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

/// @brief Makes pieces, one call at a time.
class StageServer final : public SoakServer {
 public:
  using SoakServer::SoakServer;

 private:
  void Run(Peer& peer,
           const MessageHead& head,
           const std::string& body) override;
  void OnEnd() override;
  std::string Make(const std::string& body);
  void Free(const std::string& body);

  bool busy_ = false;
  std::set<std::string> made_;
};

}  // namespace gentianroute::soak

#endif  // GENTIANROUTE_TESTS_SOAK_SOAK_SERVERS_H_
