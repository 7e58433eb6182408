#include "constraints.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace gentianroute {
namespace {

std::optional<capnp::schema::Value::Reader> FindAnnotation(
    capnp::StructSchema::Field field,
    Annotation id) {
  for (const auto annotation : field.getProto().getAnnotations()) {
    if (annotation.getId() == static_cast<std::uint64_t>(id)) {
      return annotation.getValue();
    }
  }
  return std::nullopt;
}

IntegerRange RangeOfType(capnp::Type type) {
  switch (type.which()) {
    case capnp::schema::Type::UINT16:
      return {0, std::numeric_limits<std::uint16_t>::max()};
    case capnp::schema::Type::UINT32:
      return {0, std::numeric_limits<std::uint32_t>::max()};
    case capnp::schema::Type::UINT64:
      return {0, std::numeric_limits<std::int64_t>::max()};
    default:
      return {std::numeric_limits<std::int64_t>::min(),
              std::numeric_limits<std::int64_t>::max()};
  }
}

}  // namespace

bool HasAnnotation(capnp::StructSchema::Field field, Annotation annotation) {
  return FindAnnotation(field, annotation).has_value();
}

std::string DescriptionOf(capnp::StructSchema::Field field) {
  const auto description = FindAnnotation(field, Annotation::kAbout);
  return description.has_value() ? description->getText().cStr() : "";
}

IntegerRange RangeOf(capnp::StructSchema::Field field) {
  IntegerRange range = RangeOfType(field.getType());
  const auto min = FindAnnotation(field, Annotation::kMin);
  const auto max = FindAnnotation(field, Annotation::kMax);
  if (min.has_value()) {
    range.min = std::max(range.min, min->getInt64());
  }
  if (max.has_value()) {
    range.max = std::min(range.max, max->getInt64());
  }
  return range;
}

std::string EnumerantNames(capnp::EnumSchema schema) {
  std::string names = "one of:";
  for (const auto enumerant : schema.getEnumerants()) {
    names += std::string(" ") + enumerant.getProto().getName().cStr();
  }
  return names;
}

}  // namespace gentianroute
