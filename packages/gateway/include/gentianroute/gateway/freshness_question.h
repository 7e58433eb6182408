#ifndef GENTIANROUTE_GATEWAY_FRESHNESS_QUESTION_H_
#define GENTIANROUTE_GATEWAY_FRESHNESS_QUESTION_H_

#include <boost/intrusive/list.hpp>
#include <functional>
#include <utility>

namespace gentianroute::gateway {

/// @brief A question whether a copy has all rows that the store had when it was
/// asked. Destroying it withdraws it.
class FreshnessQuestion
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  using Done = std::function<void(bool is_fresh)>;

  explicit FreshnessQuestion(Done done) : done_(std::move(done)) {}
  /// @brief Answers the question, which may be destroyed by that.
  void Answer(bool is_fresh) {
    unlink();
    std::exchange(done_, nullptr)(is_fresh);
  }

 private:
  Done done_;
};

using FreshnessQuestions =
    boost::intrusive::list<FreshnessQuestion,
                           boost::intrusive::constant_time_size<false>>;

/// @brief Answers all questions of a list, which may get others meanwhile.
inline void AnswerAll(FreshnessQuestions& questions, bool is_fresh) {
  while (!questions.empty()) {
    questions.front().Answer(is_fresh);
  }
}

/// @brief A copy of rows of the store.
class FreshnessSource {
 public:
  virtual ~FreshnessSource() = default;
  /// @brief Asks the store for rows that are missing, and then answers the
  /// question. Questions that come during a call share the next one.
  /// @param question answered later, not by this function
  virtual void AskIfFresh(FreshnessQuestion& question) = 0;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_FRESHNESS_QUESTION_H_
