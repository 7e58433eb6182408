#ifndef GENTIANROUTE_ROUTING_EVENT_FRAMER_H_
#define GENTIANROUTE_ROUTING_EVENT_FRAMER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gentianroute::routing {

/// @brief Splits an event stream at event boundaries.
///
/// A server can fail in the middle of an event. If another server may resume
/// the stream, only whole events are forwarded, so that the caller never gets
/// an event assembled from two executions.
///
/// The ids of events increase. A server that resumes a stream may repeat events
/// that have been returned here, which are skipped. It has run the request anew
/// if it sends another one in place of the last of them, or any event that the
/// caller got elsewhere. How far apart ids are is not known, so an event that
/// it leaves out can't be told.
class EventFramer {
 public:
  /// Bytes that are not an event can't be told from a long one before this.
  static constexpr std::size_t kMaxEventBytes = 256 * 1024;

  /// @brief Begins the events of another server, and drops the partial event of
  /// the last one. Until then the rest of that may still arrive.
  /// @param after id of the last event that the caller has; empty if it has
  /// none, or if the stream can't be resumed
  void BeginRun(std::string_view after);
  /// @brief Adds received bytes.
  /// @return the events that they complete and that the caller doesn't have,
  /// unchanged; none after IsOtherRun()
  std::string Feed(std::string_view data);
  /// @brief Whether the received bytes end inside an event. Further empty lines
  /// between events belong to none.
  bool is_partial() const {
    return partial_.find_first_not_of("\r\n") != std::string::npos;
  }
  /// @brief Whether they are more than an event may have.
  bool is_overlong() const { return partial_.size() > kMaxEventBytes; }
  std::string TakePartial();
  /// @brief Whether the server's events contradict those that the caller has.
  bool IsOtherRun() const { return join_ == Join::kOtherRun; }
  /// @brief Whether the server repeats events and has not yet reached the last
  /// one that the caller has.
  bool IsBehind() const { return join_ == Join::kBehind; }
  /// @brief Number of complete events with an id that were returned.
  std::size_t events() const { return events_; }
  /// @brief Id of the last event that was returned; the greatest one, if its
  /// server doesn't keep the order. Empty before the first.
  const std::string& last_id() const { return last_id_; }

 private:
  using EventId = std::uint64_t;

  /// How the events of a server relate to those that the caller has.
  enum class Join : std::uint8_t {
    kOpen,      ///< none with an id yet, or the caller's last one
    kBehind,    ///< has repeated earlier ones only
    kNew,       ///< has passed the caller's last one
    kOtherRun,  ///< they contradict each other
  };

  /// @return whether to pass the event on
  bool Admit(std::string_view event);
  /// Compares an event with the last one that the caller has.
  /// @param after id of that event
  Join JoinWith(EventId id, EventId after, std::string_view event) const;
  void Record(std::string_view id, std::string_view event);

  std::string partial_;
  std::string last_id_;
  std::string last_event_;  ///< with last_id_
  /// Of the last event that the caller had when the current server began; empty
  /// if there is none to compare with.
  std::optional<EventId> after_;
  Join join_ = Join::kNew;
  std::size_t events_ = 0;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_EVENT_FRAMER_H_
