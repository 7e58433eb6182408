#ifndef GENTIANROUTE_ROUTING_EVACUATIONS_H_
#define GENTIANROUTE_ROUTING_EVACUATIONS_H_

#include <set>
#include <string>
#include <string_view>

namespace gentianroute::routing {

/// @brief Data centres whose backend servers operators have asked to send
/// nothing to. Work that already runs there ends there.
class Evacuations {
 public:
  /// @return whether the data centre was not evacuated before
  bool Begin(std::string_view data_centre) {
    return data_centres_.emplace(data_centre).second;
  }
  /// @return whether the data centre was evacuated before
  bool End(std::string_view data_centre) {
    const auto found = data_centres_.find(data_centre);
    if (found == data_centres_.end()) {
      return false;
    }
    data_centres_.erase(found);
    return true;
  }
  bool Contains(std::string_view data_centre) const {
    return data_centres_.contains(data_centre);
  }
  const std::set<std::string, std::less<>>& data_centres() const {
    return data_centres_;
  }

 private:
  std::set<std::string, std::less<>> data_centres_;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_EVACUATIONS_H_
