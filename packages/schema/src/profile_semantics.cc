#include "profile_semantics.h"

#include <capnp/message.h>
#include <profile.capnp.h>

#include <set>
#include <string>

namespace gentianroute {
namespace {

using nlohmann::json;

/// Empty messages that provide the schema's default values.
struct SchemaDefaults {
  capnp::MallocMessageBuilder message;
  schema::Profile::Reader profile =
      message.initRoot<schema::Profile>().asReader();
  capnp::MallocMessageBuilder stage_message;
  schema::Stage::Reader stage =
      stage_message.initRoot<schema::Stage>().asReader();
};

std::string JoinPath(const std::string& path, const std::string& field) {
  return path.empty() ? field : path + "." + field;
}

leaf::result<void> CheckRetrySettings(const Origin& origin,
                                      const std::string& path,
                                      const json& stage) {
  const bool may_retry = stage.value("repeatable", true) ||
                         stage.value("deduplicatesByKey", false);
  if (may_retry) {
    return {};
  }
  // Only values set explicitly count: the schema's default for maxAttempts
  // applies to stages that may be retried.
  const auto max_attempts = stage.value("maxAttempts", 1U);
  if (max_attempts > 1) {
    return leaf::new_error(
        SchemaError{origin.file, JoinPath(path, "maxAttempts"),
                    std::to_string(max_attempts),
                    "1, unless repeatable or deduplicatesByKey is true"});
  }
  const auto hedge_after_ms = stage.value("hedgeAfterMs", 0U);
  if (hedge_after_ms > 0) {
    return leaf::new_error(
        SchemaError{origin.file, JoinPath(path, "hedgeAfterMs"),
                    std::to_string(hedge_after_ms),
                    "0, unless repeatable or deduplicatesByKey is true"});
  }
  return {};
}

}  // namespace

leaf::result<void> CheckProfileSemantics(const Origin& origin,
                                         const json& profile) {
  const SchemaDefaults defaults;
  std::set<std::string> names;
  std::uint64_t expected_ms = 0;
  std::size_t index = 0;
  for (const json& stage : profile.at("stages")) {
    const std::string path =
        JoinPath(origin.path, "stages[" + std::to_string(index++) + "]");
    const std::string name = stage.at("name");
    if (!names.insert(name).second) {
      return leaf::new_error(SchemaError{origin.file, path + ".name",
                                         "'" + name + "' more than once",
                                         "a unique name"});
    }
    BOOST_LEAF_CHECK(CheckRetrySettings(origin, path, stage));
    expected_ms += stage.value("expectedMs", defaults.stage.getExpectedMs());
  }
  const auto deadline_ms =
      profile.value("deadlineMs", defaults.profile.getDeadlineMs());
  if (deadline_ms < expected_ms) {
    return leaf::new_error(
        SchemaError{origin.file, JoinPath(origin.path, "deadlineMs"),
                    std::to_string(deadline_ms),
                    "at least " + std::to_string(expected_ms) +
                        ", the sum of the stages' expectedMs"});
  }
  return {};
}

}  // namespace gentianroute
