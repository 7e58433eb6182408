#ifndef GENTIANROUTE_GATEWAY_STORE_CONFIRMATION_H_
#define GENTIANROUTE_GATEWAY_STORE_CONFIRMATION_H_

#include <cstddef>
#include <functional>
#include <list>
#include <span>
#include <utility>

#include "gentianroute/gateway/freshness_question.h"

namespace gentianroute::gateway {

/// @brief A wait until the store has confirmed that copies of some tables are
/// up to date. Destroying it ends the wait.
class StoreConfirmation {
 public:
  /// @brief Called once, not from the constructor. May destroy the
  /// confirmation.
  using Done = std::function<void(bool is_confirmed)>;

  StoreConfirmation(std::span<FreshnessSource* const> copies, Done done)
      : done_(std::move(done)) {
    for (FreshnessSource* copy : copies) {
      questions_.emplace_back([this](bool is_fresh) { OnAnswer(is_fresh); });
      copy->AskIfFresh(questions_.back());
    }
    unanswered_ = questions_.size();
  }
  StoreConfirmation(const StoreConfirmation&) = delete;
  StoreConfirmation& operator=(const StoreConfirmation&) = delete;

 private:
  void OnAnswer(bool is_fresh) {
    is_confirmed_ &= is_fresh;
    if (--unanswered_ == 0) {
      const Done done = std::move(done_);
      done(is_confirmed_);
    }
  }

  std::list<FreshnessQuestion> questions_;  ///< never move
  std::size_t unanswered_ = 0;
  bool is_confirmed_ = true;
  Done done_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_STORE_CONFIRMATION_H_
