#ifndef GENTIANROUTE_ROUTING_EVENT_FRAMER_H_
#define GENTIANROUTE_ROUTING_EVENT_FRAMER_H_

#include <string>
#include <string_view>

namespace gentianroute::routing {

/// @brief Cuts an event stream between its events.
///
/// A server can break off in the middle of an event. Only whole events are
/// handed on where another server may go on with the stream, so that the caller
/// gets no event in two halves from two runs.
class EventFramer {
 public:
  /// @brief Adds bytes as they come.
  /// @return the whole events that they complete, byte for byte
  std::string Feed(std::string_view data);
  /// @brief Drops the beginning of an event that will not be completed.
  void DropPartial() { partial_.clear(); }
  std::string TakePartial();
  /// @brief Id of the last whole event; empty before the first.
  const std::string& last_id() const { return last_id_; }

 private:
  void RecordIds(std::string_view events);

  std::string partial_;
  std::string last_id_;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_EVENT_FRAMER_H_
