#ifndef GENTIANROUTE_ADMISSION_HELD_BYTES_H_
#define GENTIANROUTE_ADMISSION_HELD_BYTES_H_

#include <cstddef>

namespace gentianroute::admission {

/// @brief Account of the bytes that are held for many holders, with a limit on
/// their sum.
///
/// A holder may have half of what is still free, so that one alone may have
/// much, and many, such as servers that send without end, little each. The sum
/// stays below the limit without a search for the largest holder.
class HeldBytes {
 public:
  explicit HeldBytes(std::size_t limit) : limit_(limit) {}
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;

  std::size_t total() const { return total_; }

  /// @brief What one holder has, which is given back when this is destroyed.
  class Share {
   public:
    /// @param account must outlive this object
    explicit Share(HeldBytes& account) : account_(account) {}
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;
    ~Share() { Set(0); }

    void Set(std::size_t bytes) {
      account_.total_ += bytes;
      account_.total_ -= bytes_;
      bytes_ = bytes;
    }
    /// @brief Whether the holder has more than it may have now.
    bool is_excessive() const {
      const std::size_t free = account_.limit_ > account_.total_
                                   ? account_.limit_ - account_.total_
                                   : 0;
      return bytes_ > kAlwaysGranted && bytes_ > free / 2;
    }

   private:
    HeldBytes& account_;
    std::size_t bytes_ = 0;
  };

 private:
  /// So that small holders are served beside any number of large ones.
  static constexpr std::size_t kAlwaysGranted = 16 * 1024;

  std::size_t limit_;
  std::size_t total_ = 0;
};

}  // namespace gentianroute::admission

#endif  // GENTIANROUTE_ADMISSION_HELD_BYTES_H_
