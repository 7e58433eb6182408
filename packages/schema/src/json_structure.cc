#include "json_structure.h"

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gentianroute {
namespace {

using nlohmann::json;

constexpr std::size_t kDeepestNesting = 32;

/// Hears every token of the text; returning false stops the parser.
class StructureListener final : public json::json_sax_t {
 public:
  explicit StructureListener(std::string_view file) {
    error_.file = std::string(file);
  }

  const SchemaError& error() const { return error_; }

  bool null() override { return Value(); }
  bool boolean(bool /*value*/) override { return Value(); }
  bool number_integer(json::number_integer_t /*value*/) override {
    return Value();
  }
  bool number_unsigned(json::number_unsigned_t /*value*/) override {
    return Value();
  }
  bool number_float(json::number_float_t /*value*/,
                    const json::string_t& /*text*/) override {
    return Value();
  }
  bool string(json::string_t& /*value*/) override { return Value(); }
  bool binary(json::binary_t& /*value*/) override { return Value(); }

  bool start_object(std::size_t /*elements*/) override { return Open(false); }
  bool end_object() override { return Close(); }
  bool start_array(std::size_t /*elements*/) override { return Open(true); }
  bool end_array() override { return Close(); }

  bool key(json::string_t& value) override {
    Level& level = levels_.back();
    level.key = value;
    if (level.keys.insert(value).second) {
      return true;
    }
    return Fail(Path(), "the key a second time", "each key once in one object");
  }

  bool parse_error(std::size_t /*position*/,
                   const std::string& /*token*/,
                   const json::exception& exception) override {
    return Fail("", exception.what(), "JSON, with comments");
  }

 private:
  struct Level {
    bool list = false;
    std::size_t index = 0;  ///< of the element at hand, in a list
    std::string key;        ///< of the member at hand, in an object
    std::set<std::string> keys;
  };

  bool Fail(std::string path, std::string found, std::string allowed) {
    error_.field = std::move(path);
    error_.found = std::move(found);
    error_.allowed = std::move(allowed);
    return false;
  }

  bool Value() {
    if (!levels_.empty() && levels_.back().list) {
      ++levels_.back().index;
    }
    return true;
  }

  bool Open(bool list) {
    if (levels_.size() == kDeepestNesting) {
      return Fail(Path(), "a value nested deeper",
                  "at most " + std::to_string(kDeepestNesting) + " levels");
    }
    levels_.emplace_back().list = list;
    return true;
  }

  bool Close() {
    levels_.pop_back();
    return Value();
  }

  std::string Path() const {
    std::string path;
    for (const Level& level : levels_) {
      if (level.list) {
        path += "[" + std::to_string(level.index) + "]";
      } else {
        path += (path.empty() ? "" : ".") + level.key;
      }
    }
    return path;
  }

  std::vector<Level> levels_;
  SchemaError error_;
};

}  // namespace

leaf::result<void> CheckJsonStructure(std::string_view file,
                                      std::string_view text) {
  StructureListener listener(file);
  const bool sound =
      json::sax_parse(text, &listener, json::input_format_t::json,
                      /*strict=*/true, /*ignore_comments=*/true);
  if (!sound) {
    return leaf::new_error(listener.error());
  }
  return {};
}

}  // namespace gentianroute
