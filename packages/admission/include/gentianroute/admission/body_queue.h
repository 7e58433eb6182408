#ifndef GENTIANROUTE_ADMISSION_BODY_QUEUE_H_
#define GENTIANROUTE_ADMISSION_BODY_QUEUE_H_

#include <boost/intrusive/list.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "gentianroute/admission/memory_account.h"
#include "gentianroute/base/time.h"

namespace gentianroute::admission {

/// @brief Decides whose request body is read when memory is short.
///
/// A body has room for all of it before it is read, so that no two that are
/// half read wait for each other. Bodies without room wait in the order in
/// which they came, unread, and small ones pass them. A caller that has stopped
/// sending gives its room to one that waits. A caller that has waited too long
/// is refused, and its request has not run.
class BodyQueue {
 public:
  /// How long a caller's body may wait for room. Longer than it takes to answer
  /// a burst of requests, and short enough for the caller to try another
  /// daemon.
  static constexpr Duration kMaxWait = std::chrono::seconds(2);
  /// After this time without a byte, a body gives way to one that waits.
  static constexpr Duration kMaxStall = std::chrono::seconds(1);

  enum class Verdict : std::uint8_t {
    kRead,
    kWait,    ///< until OnRoom() or OnNoRoom()
    kRefuse,  ///< it is larger than all the room there is
  };

  using Hook = boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>,
      boost::intrusive::tag<BodyQueue>>;

  /// @brief One body that is being read or waits.
  class Reader : public Hook {
   public:
    virtual ~Reader() = default;
    /// @brief The body may be read now.
    virtual void OnRoom() = 0;
    /// @brief The body must not be read any further; its room is given back.
    virtual void OnNoRoom() = 0;

   private:
    friend class BodyQueue;
    MemoryAccount::Share* share_ = nullptr;
    std::size_t wanted_bytes_ = 0;
    TimePoint since_{};  ///< when it began to wait, or last made progress
  };

  explicit BodyQueue(MemoryAccount& account) : account_(account) {}

  /// @brief Asks for room for a body, or for more room for one that is being
  /// read.
  /// @param share gets the room; must stay until Remove(), OnNoRoom(), or the
  /// destruction of the reader
  /// @param bytes the most that the body may become, including what `share` has
  Verdict Add(TimePoint now,
              Reader& reader,
              MemoryAccount::Share& share,
              std::size_t bytes);
  /// @brief A part of a body that has room has arrived.
  void OnProgress(TimePoint now, Reader& reader);
  /// @brief The body is complete or its caller has gone. Does nothing if the
  /// reader isn't in the queue.
  static void Remove(Reader& reader);

  /// @brief Whether Run() has to be called again soon.
  bool has_waiting() const { return !waiting_.empty(); }
  /// @brief Gives room to those that wait, and refuses those that have waited
  /// too long. Calls back the readers, which may add and remove others.
  void Run(TimePoint now);

  /// @brief Bodies that had to wait, and that were refused, since the start.
  std::uint64_t waited() const { return waited_; }
  std::uint64_t refused() const { return refused_; }

 private:
  using List =
      boost::intrusive::list<Reader,
                             boost::intrusive::base_hook<Hook>,
                             boost::intrusive::constant_time_size<false>>;

  bool Fits(const Reader& reader) const;
  void Grant(TimePoint now, Reader& reader);
  void Refuse(Reader& reader);
  /// @return whether a body that stalls was refused
  bool RefuseStalled(TimePoint now);
  /// While the process was suspended, no body could make progress.
  void ForgetStallsAfterPause(TimePoint now);

  MemoryAccount& account_;
  List waiting_;  ///< the first to come first
  List reading_;  ///< those that have room, the longest without a byte first
  TimePoint last_run_{};
  std::uint64_t waited_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace gentianroute::admission

#endif  // GENTIANROUTE_ADMISSION_BODY_QUEUE_H_
