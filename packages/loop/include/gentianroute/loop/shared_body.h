#ifndef GENTIANROUTE_LOOP_SHARED_BODY_H_
#define GENTIANROUTE_LOOP_SHARED_BODY_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "gentianroute/admission/memory_account.h"

namespace gentianroute {

/// @brief Body of a request, held once by all that need it: the caller's
/// connection, the request, and the sockets that send it to servers.
class SharedBody
    : public boost::intrusive_ref_counter<SharedBody,
                                          boost::thread_unsafe_counter> {
 public:
  std::string_view view() const { return bytes_; }
  std::size_t size() const { return bytes_.size(); }
  /// @brief What an account is charged. Absent before ChargeTo().
  std::optional<admission::MemoryAccount::Share>& share() { return share_; }

  /// @brief Charges an account for the body from now on.
  void ChargeTo(admission::MemoryAccount& account, admission::HeldKind kind) {
    share_.emplace(account, kind);
    ChargeSize();
  }
  /// @brief Makes room, so that the body isn't copied while it grows.
  void Reserve(std::size_t bytes) { bytes_.reserve(bytes); }
  void Append(std::string_view part) { bytes_.append(part); }
  /// @brief Charges what has arrived, in place of what was expected.
  void ChargeSize() { Charge(bytes_.size()); }
  /// @brief Drops what has arrived of a body that won't be read to its end.
  void Discard() {
    std::string().swap(bytes_);
    Charge(0);
  }

 private:
  void Charge(std::size_t bytes) {
    if (share_) {
      share_->Set(bytes);
    }
  }

  std::string bytes_;
  std::optional<admission::MemoryAccount::Share> share_;
};
using SharedBodyPtr = boost::intrusive_ptr<SharedBody>;

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_SHARED_BODY_H_
