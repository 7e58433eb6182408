#ifndef GENTIANROUTE_ROUTING_STREAM_ORIGINS_H_
#define GENTIANROUTE_ROUTING_STREAM_ORIGINS_H_

#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/base/time.h"
#include "gentianroute/routing/stream_origin.h"

namespace gentianroute::routing {

/// @brief The origins of streams that this daemon or a peer has begun.
class StreamOrigins {
 public:
  /// Further streams displace those that were recorded first.
  static constexpr std::size_t kMaxStreams = 65'536;

  /// @brief Who has recorded a stream: peers have to be told only of those that
  /// this daemon has begun, until it leaves.
  enum class Source : std::uint8_t { kOwn, kPeer };

  /// @brief Records the origin of a stream, or extends the time for which it is
  /// kept.
  /// @complexity logarithmic in the number of streams
  void Put(TimePoint now, const BegunStream& stream, Source source);
  /// @return null if the stream is unknown
  const StreamOrigin* Find(TimePoint now, std::string_view id) const;
  /// @brief Returns the streams that peers have not been told of, which count
  /// as told from now on.
  /// @param is_due whether peers have to know the streams of a service
  /// @complexity linear in the number of streams not told of
  std::vector<BegunStream> TakeUntold(
      TimePoint now,
      const std::function<bool(std::string_view service)>& is_due);
  /// @brief Returns the streams that peers have to know, told of or not: for a
  /// peer that hasn't been told of any.
  /// @complexity linear in the number of these streams
  std::vector<BegunStream> ToShare(
      TimePoint now,
      const std::function<bool(std::string_view service)>& is_due) const;
  /// @brief This daemon will end: peers have to know all streams from now on,
  /// also those that it keeps for others.
  void OnLeaving();
  /// @brief Drops streams that can't be taken up any more.
  void Expire(TimePoint now);
  std::size_t size() const { return streams_.size(); }

 private:
  using Hook = boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
  struct Untold
      : boost::intrusive::list_base_hook<
            boost::intrusive::tag<Untold>,
            boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {};
  /// Streams that peers have to know.
  struct Shared
      : boost::intrusive::list_base_hook<
            boost::intrusive::tag<Shared>,
            boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {};
  struct Entry : Hook, Untold, Shared {
    std::string_view id;  ///< its key
    StreamOrigin origin;
    TimePoint expires{};
  };
  template <typename Hooked>
  using List =
      boost::intrusive::list<Entry,
                             boost::intrusive::base_hook<Hooked>,
                             boost::intrusive::constant_time_size<false>>;

  void Share(Entry& entry);
  void Erase(Entry& entry);

  /// Destroyed after the lists that refer to its entries.
  std::map<std::string, Entry, std::less<>> streams_;
  List<Hook> in_order_;  ///< as they were last recorded
  List<Untold> untold_;  ///< among `shared_`
  List<Shared> shared_;
  bool is_leaving_ = false;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_STREAM_ORIGINS_H_
