#ifndef GENTIANROUTE_SCHEMA_SETTINGS_H_
#define GENTIANROUTE_SCHEMA_SETTINGS_H_

#include <capnp/message.h>
#include <settings.capnp.h>

#include <boost/leaf.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "gentianroute/schema/checked_json.h"

namespace gentianroute {

/// @brief Validated settings of one daemon.
class Settings {
 public:
  /// @return SchemaError, see DecodeChecked(); also for a duplicate
  /// organisation name or key digest, and for a certificate file without a key
  /// file or the reverse
  static leaf::result<Settings> Parse(std::string_view file,
                                      std::string_view text);
  static leaf::result<Settings> Load(const std::string& path);

  schema::Settings::Reader get() const {
    return message_->getRoot<schema::Settings>().asReader();
  }

 private:
  Settings() : message_(std::make_unique<capnp::MallocMessageBuilder>()) {}
  std::unique_ptr<capnp::MallocMessageBuilder> message_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_SCHEMA_SETTINGS_H_
