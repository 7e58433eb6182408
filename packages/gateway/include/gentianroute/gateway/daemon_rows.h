#ifndef GENTIANROUTE_GATEWAY_DAEMON_ROWS_H_
#define GENTIANROUTE_GATEWAY_DAEMON_ROWS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/gateway/membership.h"
#include "gentianroute/gateway/store.h"
#include "gentianroute/loop/event_loop.h"

namespace gentianroute::gateway {

/// @brief The rows of the store by which daemons discover each other.
///
/// The table has a part for each data centre. Each daemon writes its own
/// address into the part of its data centre once, and reads that part once: a
/// daemon that starts later finds this one by its row and sends it a heartbeat.
/// A part accepts a limited rate of writes and a read of it takes its size, so
/// that neither may grow with the fleet. The daemons of the other data centres
/// are learnt from a neighbour; only the first daemons of a data centre read
/// those parts.
class DaemonRows {
 public:
  /// @brief Called with the daemons of a data centre whose rows were read,
  /// except this one.
  using OnRows = std::function<void(std::string_view data_centre,
                                    const std::vector<DaemonState>& daemons)>;

  /// @param first_start whether the whole fleet starts for the first time, so
  /// that there is no row of this daemon yet
  DaemonRows(EventLoop& loop,
             Store& store,
             DaemonState own,
             bool first_start,
             OnRows on_rows);
  ~DaemonRows();

  void Start();
  /// @brief The daemon that had this one's name before.
  enum class Predecessor : std::uint8_t {
    kUnknown,    ///< the row has not been read yet
    kGuarded,    ///< there was none, or it followed the version records
    kUnguarded,  ///< it was of an earlier release, which doesn't
  };
  Predecessor predecessor() const { return predecessor_; }
  /// @brief Reads the part of another data centre.
  void ReadOther(const std::string& data_centre);

 private:
  void Read();
  void OnRead(const StoreAnswer& answer);
  void Write();
  void After(Duration delay, void (DaemonRows::*step)());
  /// The daemons in the rows of an answer, except this one.
  std::vector<DaemonState> ReadRows(const StoreAnswer& answer);

  EventLoop& loop_;
  Store& store_;
  DaemonState own_;
  std::string own_row_;
  bool first_start_;
  OnRows on_rows_;
  bool written_ = false;
  Predecessor predecessor_ = Predecessor::kUnknown;
  TimerId timer_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_DAEMON_ROWS_H_
