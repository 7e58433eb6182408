#include "constraints.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace gentianroute {
namespace {

std::optional<capnp::schema::Value::Reader> Find(
    capnp::StructSchema::Field field,
    Annotation wanted) {
  for (const auto annotation : field.getProto().getAnnotations()) {
    if (annotation.getId() == static_cast<std::uint64_t>(wanted)) {
      return annotation.getValue();
    }
  }
  return std::nullopt;
}

NumberRange RangeOfType(capnp::Type type) {
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
  return Find(field, annotation).has_value();
}

std::string AboutOf(capnp::StructSchema::Field field) {
  const auto about = Find(field, Annotation::kAbout);
  return about.has_value() ? about->getText().cStr() : "";
}

NumberRange RangeOf(capnp::StructSchema::Field field) {
  NumberRange range = RangeOfType(field.getType());
  const auto min = Find(field, Annotation::kMin);
  const auto max = Find(field, Annotation::kMax);
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
