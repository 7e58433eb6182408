#ifndef GENTIANROUTE_GATEWAY_DAEMON_ROWS_H_
#define GENTIANROUTE_GATEWAY_DAEMON_ROWS_H_

#include <functional>
#include <string>
#include <vector>

#include "gentianroute/gateway/membership.h"
#include "gentianroute/gateway/store.h"
#include "gentianroute/loop/event_loop.h"

namespace gentianroute::gateway {

/// @brief The rows of the store by which daemons discover each other.
///
/// Each daemon writes its own address once and reads those of the others once:
/// a daemon that starts later finds this one by its row and sends it a
/// heartbeat. An unchanged row from an earlier start is not written again,
/// since calls to the store are billed and all daemons may start at once.
class DaemonRows {
 public:
  /// @brief Called with the daemons whose rows were read, except this one.
  using OnRows = std::function<void(const std::vector<DaemonState>& daemons)>;

  DaemonRows(EventLoop& loop, Store& store, DaemonState own, OnRows on_rows);
  ~DaemonRows();

  void Start();

 private:
  void Read();
  void OnRead(const StoreAnswer& answer);
  void Write();
  void ReadAfter(Duration delay);

  EventLoop& loop_;
  Store& store_;
  DaemonState own_;
  std::string own_row_;
  OnRows on_rows_;
  bool written_ = false;
  TimerId timer_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_DAEMON_ROWS_H_
