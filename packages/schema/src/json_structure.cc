#include "json_structure.h"

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gentianroute {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNestingDepth = 32;

/// SAX handler that tracks the path of the current value. Returning false from
/// an event stops the parser.
class StructureHandler final : public json::json_sax_t {
 public:
  explicit StructureHandler(std::string_view file) {
    error_.file = std::string(file);
  }

  const SchemaError& error() const { return error_; }

  bool null() override { return EndValue(); }
  bool boolean(bool /*value*/) override { return EndValue(); }
  bool number_integer(json::number_integer_t /*value*/) override {
    return EndValue();
  }
  bool number_unsigned(json::number_unsigned_t /*value*/) override {
    return EndValue();
  }
  bool number_float(json::number_float_t /*value*/,
                    const json::string_t& /*text*/) override {
    return EndValue();
  }
  bool string(json::string_t& /*value*/) override { return EndValue(); }
  bool binary(json::binary_t& /*value*/) override { return EndValue(); }

  bool start_object(std::size_t /*elements*/) override {
    return BeginContainer(false);
  }
  bool end_object() override { return EndContainer(); }
  bool start_array(std::size_t /*elements*/) override {
    return BeginContainer(true);
  }
  bool end_array() override { return EndContainer(); }

  bool key(json::string_t& value) override {
    Level& level = levels_.back();
    level.key = value;
    if (level.keys.insert(value).second) {
      return true;
    }
    return Fail(CurrentPath(), "a duplicate key",
                "unique keys within an object");
  }

  bool parse_error(std::size_t /*position*/,
                   const std::string& /*token*/,
                   const json::exception& exception) override {
    return Fail("", exception.what(), "valid JSON, optionally with comments");
  }

 private:
  struct Level {
    bool is_array = false;
    std::size_t index = 0;       ///< current element of an array
    std::string key;             ///< current member of an object
    std::set<std::string> keys;  ///< keys of the object so far
  };

  bool Fail(std::string path, std::string found, std::string allowed) {
    error_.field = std::move(path);
    error_.found = std::move(found);
    error_.allowed = std::move(allowed);
    return false;
  }

  bool EndValue() {
    if (!levels_.empty() && levels_.back().is_array) {
      ++levels_.back().index;
    }
    return true;
  }

  bool BeginContainer(bool is_array) {
    if (levels_.size() == kMaxNestingDepth) {
      return Fail(CurrentPath(), "a value nested too deeply",
                  "at most " + std::to_string(kMaxNestingDepth) + " levels");
    }
    levels_.emplace_back().is_array = is_array;
    return true;
  }

  bool EndContainer() {
    levels_.pop_back();
    return EndValue();
  }

  std::string CurrentPath() const {
    std::string path;
    for (const Level& level : levels_) {
      if (level.is_array) {
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
  StructureHandler handler(file);
  const bool valid = json::sax_parse(text, &handler, json::input_format_t::json,
                                     /*strict=*/true, /*ignore_comments=*/true);
  if (!valid) {
    return leaf::new_error(handler.error());
  }
  return {};
}

}  // namespace gentianroute
