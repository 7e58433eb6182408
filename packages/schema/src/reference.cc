#include "gentianroute/schema/reference.h"

#include <capnp/dynamic.h>
#include <capnp/message.h>
#include <profile.capnp.h>
#include <settings.capnp.h>

#include <chrono>
#include <string_view>

#include "constraints.h"
#include "gentianroute/base/error_kind.h"

namespace gentianroute {
namespace {

constexpr std::string_view kTableHeader =
    "| Field | Type | Default | Limits | Meaning |\n"
    "| --- | --- | --- | --- | --- |\n";

std::string TypeName(capnp::Type type) {
  if (type.isList()) {
    return "array of " + TypeName(type.asList().getElementType()) + "s";
  }
  if (type.isStruct()) {
    return "object";
  }
  if (type.isText()) {
    return "string";
  }
  if (type.isBool()) {
    return "boolean";
  }
  if (type.isEnum()) {
    return "word";
  }
  return type.isFloat64() ? "number" : "integer";
}

bool IsCompound(capnp::Type type) {
  return type.isList() || type.isStruct();
}

std::string DefaultOf(capnp::StructSchema schema,
                      capnp::StructSchema::Field field) {
  if (HasAnnotation(field, Annotation::kRequired)) {
    return "required";
  }
  if (IsCompound(field.getType())) {
    return "none";
  }
  capnp::MallocMessageBuilder message;
  const auto defaults =
      message.initRoot<capnp::DynamicStruct>(schema).asReader();
  const std::string text = kj::str(defaults.get(field)).cStr();
  return text == "\"\"" ? "none" : "`" + text + "`";
}

std::string LimitsOf(capnp::StructSchema::Field field) {
  const capnp::Type type = field.getType();
  if (HasAnnotation(field, Annotation::kHexDigest)) {
    return "64 hexadecimal digits in lower case";
  }
  if (HasAnnotation(field, Annotation::kIpNumber)) {
    return "an IPv4 address";
  }
  if (type.isEnum()) {
    return EnumerantNames(type.asEnum());
  }
  if (type.isFloat64()) {
    return "0 to 1";
  }
  if (type.isText() || type.isBool() || IsCompound(type)) {
    return "";
  }
  const IntegerRange range = RangeOf(field);
  return std::to_string(range.min) + " to " + std::to_string(range.max);
}

void AppendFieldRows(capnp::StructSchema schema,
                     const std::string& prefix,
                     std::string& output) {
  for (const auto field : schema.getFields()) {
    const std::string path = prefix + field.getProto().getName().cStr();
    output += "| `" + path + "` | " + TypeName(field.getType()) + " | " +
              DefaultOf(schema, field) + " | " + LimitsOf(field) + " | " +
              DescriptionOf(field) + " |\n";
    const capnp::Type type = field.getType();
    if (type.isStruct()) {
      AppendFieldRows(type.asStruct(), path + ".", output);
    } else if (type.isList() && type.asList().getElementType().isStruct()) {
      AppendFieldRows(type.asList().getStructElementType(), path + "[].",
                      output);
    }
  }
}

template <typename Root>
std::string FieldTable() {
  std::string output(kTableHeader);
  AppendFieldRows(capnp::Schema::from<Root>(), "", output);
  return output;
}

}  // namespace

std::string SettingsReference() {
  return FieldTable<schema::Settings>();
}

std::string ProfilesReference() {
  return FieldTable<schema::Declarations>();
}

std::string ErrorsReference() {
  std::string output =
      "| Number | Kind | Status | Work | Retry-After | Meaning | Example |\n"
      "| --- | --- | --- | --- | --- | --- | --- |\n";
  for (const ErrorAnswer& answer : AllErrorAnswers()) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(answer.retry_after).count();
    output += "| " + std::to_string(static_cast<int>(answer.kind)) + " | `" +
              std::string(answer.name) + "` | " +
              std::to_string(answer.http_status) + " | `" +
              std::string(ExecutionStateName(answer.work)) + "` | " +
              (seconds == 0 ? "" : std::to_string(seconds) + " s") + " | " +
              std::string(answer.title) + " | " + std::string(answer.example) +
              " |\n";
  }
  return output;
}

}  // namespace gentianroute
