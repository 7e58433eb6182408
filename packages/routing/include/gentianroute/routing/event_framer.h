#ifndef GENTIANROUTE_ROUTING_EVENT_FRAMER_H_
#define GENTIANROUTE_ROUTING_EVENT_FRAMER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace gentianroute::routing {

/// @brief Splits an event stream at event boundaries.
///
/// A server can fail in the middle of an event. If another server may resume
/// the stream, only whole events are forwarded, so that the caller never gets
/// an event assembled from two executions.
class EventFramer {
 public:
  /// Bytes that are not an event can't be told from a long one before this.
  static constexpr std::size_t kMaxEventBytes = 256 * 1024;

  /// @brief Adds received bytes.
  /// @return the events that they complete, unchanged
  std::string Feed(std::string_view data);
  /// @brief Whether the received bytes end inside an event.
  bool is_partial() const { return !partial_.empty(); }
  /// @brief Whether they are more than an event may have.
  bool is_overlong() const { return partial_.size() > kMaxEventBytes; }
  /// @brief Drops the partial event at the end. To be called only when another
  /// attempt begins: until then its rest may still arrive.
  void DropPartial() { partial_.clear(); }
  std::string TakePartial();
  /// @brief Number of complete events that had an id.
  std::size_t events() const { return events_; }
  /// @brief Id of the last complete event; empty before the first.
  const std::string& last_id() const { return last_id_; }

 private:
  void RecordIds(std::string_view events);

  std::string partial_;
  std::string last_id_;
  std::size_t events_ = 0;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_EVENT_FRAMER_H_
