#ifndef GENTIANROUTE_GATEWAY_DAEMON_ROWS_H_
#define GENTIANROUTE_GATEWAY_DAEMON_ROWS_H_

#include <functional>
#include <string>
#include <vector>

#include "gentianroute/gateway/membership.h"
#include "gentianroute/gateway/store.h"
#include "gentianroute/loop/event_loop.h"

namespace gentianroute::gateway {

/// @brief The rows of the store by which daemons find each other.
///
/// Each daemon writes where it is and reads where the others are, once: those
/// that it misses find it by its row. A row that is there from an earlier start
/// is not written again. Calls to the store are billed, and all daemons may
/// start at once.
class DaemonRows {
 public:
  /// @brief Daemons whose rows were read, this one left out.
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
