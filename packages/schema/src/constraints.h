#ifndef GENTIANROUTE_SCHEMA_CONSTRAINTS_H_
#define GENTIANROUTE_SCHEMA_CONSTRAINTS_H_

#include <capnp/schema.h>

#include <cstdint>
#include <string>

namespace gentianroute {

/// @brief Ids of the annotations that constraint.capnp defines.
enum class Annotation : std::uint64_t {
  kMin = 0xa1d3c5e7f9b20461,
  kMax = 0xb2e4d6f8a0c31572,
  kRequired = 0x93f5e7a9b1d42683,
  kHexDigest = 0x84a6f8bac2e53794,
  kIpNumber = 0xf5b7a9cbd3f648a5,
  kAbout = 0xd7c8e9f0a1b25369,
};

/// @brief Inclusive range of an integer field.
struct IntegerRange {
  std::int64_t min = 0;
  std::int64_t max = 0;
};

bool HasAnnotation(capnp::StructSchema::Field field, Annotation annotation);

/// @return text of the field's `about` annotation; empty if it has none
std::string DescriptionOf(capnp::StructSchema::Field field);

/// @brief Range of the field's integer type, narrowed by its `min` and `max`
/// annotations.
IntegerRange RangeOf(capnp::StructSchema::Field field);

/// @return `one of:` followed by the names of the enumerants
std::string EnumerantNames(capnp::EnumSchema schema);

}  // namespace gentianroute

#endif  // GENTIANROUTE_SCHEMA_CONSTRAINTS_H_
