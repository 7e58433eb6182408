#include "gentianroute/schema/checked_json.h"

#include <arpa/inet.h>
#include <capnp/compat/json.h>
#include <capnp/dynamic.h>

#include <cctype>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>

#include "constraints.h"
#include "gentianroute/base/json_text.h"
#include "json_structure.h"

namespace gentianroute {
namespace {

using nlohmann::json;

constexpr std::size_t kHexDigestLength = 64;
constexpr std::size_t kMaxQuotedBytes = 60;

std::string Quote(const json& value) {
  std::string text = EncodeJson(value);
  if (text.size() > kMaxQuotedBytes) {
    text = text.substr(0, kMaxQuotedBytes) + "...";
  }
  return text;
}

/// Validates a JSON value recursively against a schema and stops at the first
/// error.
class SchemaChecker {
 public:
  explicit SchemaChecker(std::string_view file) : file_(file) {}

  leaf::result<void> CheckStruct(const json& value,
                                 capnp::StructSchema schema,
                                 const std::string& path) const {
    if (!value.is_object()) {
      return Fail(path, Quote(value), "an object");
    }
    for (const auto& [name, member] : value.items()) {
      const std::string member_path = path.empty() ? name : path + "." + name;
      KJ_IF_MAYBE (field, schema.findFieldByName(name.c_str())) {
        BOOST_LEAF_CHECK(CheckField(member, *field, member_path));
      } else {
        return Fail(member_path, "an unknown field", FieldNames(schema));
      }
    }
    for (const auto field : schema.getFields()) {
      const char* name = field.getProto().getName().cStr();
      if (HasAnnotation(field, Annotation::kRequired) &&
          !value.contains(name)) {
        return Fail(path.empty() ? name : path + "." + name, "nothing",
                    "a value, since the field is required");
      }
    }
    return {};
  }

 private:
  leaf::result<void> Fail(const std::string& path,
                          std::string found,
                          std::string allowed) const {
    return leaf::new_error(
        SchemaError{file_, path, std::move(found), std::move(allowed)});
  }

  static std::string FieldNames(capnp::StructSchema schema) {
    std::string names = "one of:";
    for (const auto field : schema.getFields()) {
      names += std::string(" ") + field.getProto().getName().cStr();
    }
    return names;
  }

  leaf::result<void> CheckField(const json& value,
                                capnp::StructSchema::Field field,
                                const std::string& path) const {
    const bool required = HasAnnotation(field, Annotation::kRequired);
    if (required && value.is_string() &&
        value.get_ref<const std::string&>().empty()) {
      return Fail(path, "an empty string", "a non-empty string");
    }
    if (required && value.is_array() && value.empty()) {
      return Fail(path, "an empty array", "at least one element");
    }
    BOOST_LEAF_CHECK(CheckValue(value, field.getType(), RangeOf(field), path));
    if (HasAnnotation(field, Annotation::kHexDigest)) {
      return CheckHexDigest(value.get<std::string>(), path);
    }
    if (HasAnnotation(field, Annotation::kIpNumber)) {
      return CheckIpv4Address(value.get<std::string>(), path);
    }
    return {};
  }

  leaf::result<void> CheckHexDigest(const std::string& text,
                                    const std::string& path) const {
    bool valid = text.size() == kHexDigestLength;
    for (const char c : text) {
      // The daemon computes digests in lower case and compares them as text.
      // An upper-case digest would never match, so every call with that key
      // would be rejected.
      valid = valid && (std::isdigit(static_cast<unsigned char>(c)) != 0 ||
                        (c >= 'a' && c <= 'f'));
    }
    return valid ? leaf::result<void>()
                 : Fail(path, "'" + text + "'",
                        "64 hexadecimal digits in lower case");
  }

  leaf::result<void> CheckIpv4Address(const std::string& text,
                                      const std::string& path) const {
    in_addr parsed{};
    const bool valid = inet_pton(AF_INET, text.c_str(), &parsed) == 1;
    return valid ? leaf::result<void>()
                 : Fail(path, "'" + text + "'",
                        "an IPv4 address in dotted decimal notation");
  }

  leaf::result<void> CheckValue(const json& value,
                                capnp::Type type,
                                IntegerRange limits,
                                const std::string& path) const {
    if (type.isStruct()) {
      return CheckStruct(value, type.asStruct(), path);
    }
    if (type.isList()) {
      return CheckList(value, type.asList(), path);
    }
    if (type.isText()) {
      return CheckText(value, path);
    }
    if (type.isBool()) {
      return value.is_boolean() ? leaf::result<void>()
                                : Fail(path, Quote(value), "true or false");
    }
    if (type.isEnum()) {
      return CheckEnum(value, type.asEnum(), path);
    }
    if (type.isFloat64()) {
      const bool fits = value.is_number() && value >= 0.0 && value <= 1.0;
      return fits ? leaf::result<void>()
                  : Fail(path, Quote(value), "a number from 0 to 1");
    }
    return CheckInteger(value, limits, path);
  }

  leaf::result<void> CheckText(const json& value,
                               const std::string& path) const {
    if (!value.is_string()) {
      return Fail(path, Quote(value), "a string");
    }
    // Cap'n Proto texts end at the first NUL, so two different names could
    // become equal.
    const bool has_nul =
        value.get_ref<const std::string&>().find('\0') != std::string::npos;
    return has_nul ? Fail(path, Quote(value), "a string without NUL characters")
                   : leaf::result<void>();
  }

  leaf::result<void> CheckList(const json& value,
                               capnp::ListSchema schema,
                               const std::string& path) const {
    if (!value.is_array()) {
      return Fail(path, Quote(value), "an array");
    }
    for (std::size_t i = 0; i < value.size(); ++i) {
      BOOST_LEAF_CHECK(CheckValue(value[i], schema.getElementType(),
                                  IntegerRange{},
                                  path + "[" + std::to_string(i) + "]"));
    }
    return {};
  }

  leaf::result<void> CheckEnum(const json& value,
                               capnp::EnumSchema schema,
                               const std::string& path) const {
    for (const auto enumerant : schema.getEnumerants()) {
      const std::string name = enumerant.getProto().getName().cStr();
      if (value.is_string() && value.get<std::string>() == name) {
        return {};
      }
    }
    return Fail(path, Quote(value), EnumerantNames(schema));
  }

  leaf::result<void> CheckInteger(const json& value,
                                  IntegerRange limits,
                                  const std::string& path) const {
    const std::string allowed = "an integer from " +
                                std::to_string(limits.min) + " to " +
                                std::to_string(limits.max);
    if (!value.is_number_integer()) {
      return Fail(path, Quote(value), allowed);
    }
    const bool too_large =
        value.is_number_unsigned() &&
        value.get<std::uint64_t>() > static_cast<std::uint64_t>(limits.max);
    const auto number = value.get<std::int64_t>();
    if (too_large || number < limits.min || number > limits.max) {
      return Fail(path, Quote(value), allowed);
    }
    return {};
  }

  std::string file_;
};

SchemaError FileTooLarge(std::string_view file) {
  return {std::string(file), "", "a file that is too large",
          "at most " + std::to_string(kMaxFileBytes) + " bytes"};
}

}  // namespace

std::string SchemaError::Text() const {
  const std::string where = field.empty() ? file : file + ": " + field;
  return where + ": found " + found + "; allowed: " + allowed;
}

leaf::result<void> DecodeChecked(std::string_view file,
                                 std::string_view text,
                                 capnp::DynamicStruct::Builder output) {
  if (text.size() > kMaxFileBytes) {
    return leaf::new_error(FileTooLarge(file));
  }
  BOOST_LEAF_CHECK(CheckJsonStructure(file, text));
  const json value = json::parse(text, nullptr, true, /*ignore_comments=*/true);
  BOOST_LEAF_CHECK(
      SchemaChecker(file).CheckStruct(value, output.getSchema(), ""));
  capnp::JsonCodec codec;
  codec.setRejectUnknownFields(true);
  const std::string compact = value.dump();
  codec.decode(kj::arrayPtr(compact.data(), compact.size()), output);
  return {};
}

leaf::result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  // Reading one byte beyond the maximum detects a file that is too large
  // without reading all of it.
  std::string text(kMaxFileBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad() || file.gcount() == 0) {
    return leaf::new_error(
        SchemaError{path, "", "a file that is missing, empty or unreadable",
                    "a readable JSON file"});
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > kMaxFileBytes) {
    return leaf::new_error(FileTooLarge(path));
  }
  return text;
}

}  // namespace gentianroute
