#ifndef GENTIANROUTE_ADMISSION_MEMORY_ACCOUNT_H_
#define GENTIANROUTE_ADMISSION_MEMORY_ACCOUNT_H_

#include <algorithm>
#include <array>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace gentianroute::admission {

/// @brief What a daemon holds bytes for.
enum class HeldKind : std::uint8_t {
  kInput,            ///< received from callers and not parsed yet
  kRequestBody,      ///< of callers' requests, with what is still to come
  kPeerRequest,      ///< bodies of requests handed to or by peers
  kCollectedAnswer,  ///< of servers, collected before it is sent on
  kUnsentAnswer,     ///< not read by its caller yet
};
/// @brief Names of the kinds in metrics, in their order.
inline constexpr std::array<std::string_view, 5> kHeldKindNames = {
    "input", "request_body", "peer_request", "collected_answer",
    "unsent_answer"};

/// @brief Account of the bytes that a daemon holds for others, by kind.
///
/// Their sum is compared with watermarks, which are shares of the memory of the
/// process. Work that has not begun gives way first: bodies of requests stop
/// being read at the lowest watermark, answers that are being collected are
/// abandoned at the middle one, and callers that don't read their answers are
/// disconnected at the highest. What is left is for everything else.
class MemoryAccount {
  /// Counted, since the event loop may keep holders for longer than the
  /// account.
  struct Sums
      : boost::intrusive_ref_counter<Sums, boost::thread_unsafe_counter> {
    std::size_t total = 0;
    std::array<std::size_t, kHeldKindNames.size()> held{};
  };

 public:
  /// @param memory_bytes that the process may use
  explicit MemoryAccount(std::size_t memory_bytes)
      : memory_bytes_(memory_bytes) {}
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  std::size_t total() const { return sums_->total; }
  std::size_t held(HeldKind kind) const {
    return sums_->held[static_cast<std::size_t>(kind)];
  }

  /// @brief Sum up to which bodies of requests are read.
  std::size_t request_watermark() const { return Sixteenths(8); }
  /// @brief Sum up to which handed requests are accepted and answers collected.
  std::size_t collection_watermark() const { return Sixteenths(10); }
  /// @brief Most bytes of answers that callers may leave unread beside what is
  /// held otherwise.
  std::size_t unsent_limit() const {
    const std::size_t others = total() - held(HeldKind::kUnsentAnswer);
    return std::min(Difference(Sixteenths(12), others), kind_limit());
  }
  /// @brief Bytes of answers that may still be collected.
  std::size_t room_to_collect() const {
    const std::size_t own = held(HeldKind::kCollectedAnswer);
    return std::min(Difference(collection_watermark(), total()),
                    Difference(kind_limit(), own));
  }
  /// @brief Whether `bytes` more stay below a watermark.
  bool Fits(std::size_t bytes, std::size_t watermark) const {
    return bytes <= Difference(watermark, total());
  }

  /// @brief What one holder has, which is given back when this is destroyed.
  class Share {
   public:
    Share(MemoryAccount& account, HeldKind kind)
        : account_(account), sums_(account.sums_), kind_(kind) {}
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;
    ~Share() { Set(0); }

    std::size_t bytes() const { return bytes_; }
    void Set(std::size_t bytes) {
      std::size_t& held = sums_->held[static_cast<std::size_t>(kind_)];
      held += bytes;
      held -= bytes_;
      sums_->total += bytes;
      sums_->total -= bytes_;
      bytes_ = bytes;
    }
    /// @brief Whether the holder of a collected answer has more than it may
    /// have now, which is half of what is still free: one alone may have much,
    /// and many, such as servers that send without end, little each. Requires
    /// the account.
    bool is_excessive() const {
      return bytes_ > kSmallBytes && bytes_ > account_.room_to_collect() / 2;
    }

   private:
    MemoryAccount& account_;
    boost::intrusive_ptr<Sums> sums_;
    HeldKind kind_;
    std::size_t bytes_ = 0;
  };

  /// @brief Up to this size a holder is served beside any number of large ones.
  static constexpr std::size_t kSmallBytes = 16 * 1024;

 private:
  /// Of answers, whatever else is held.
  std::size_t kind_limit() const { return Sixteenths(4); }
  static std::size_t Difference(std::size_t a, std::size_t b) {
    return a > b ? a - b : 0;
  }
  std::size_t Sixteenths(std::size_t count) const {
    return memory_bytes_ / 16 * count;
  }

  std::size_t memory_bytes_;
  boost::intrusive_ptr<Sums> sums_{new Sums};
};

}  // namespace gentianroute::admission

#endif  // GENTIANROUTE_ADMISSION_MEMORY_ACCOUNT_H_
