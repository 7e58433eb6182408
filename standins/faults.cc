#include "faults.h"

namespace gentianroute::standin {

void Faults::Update(const nlohmann::json& body, std::uint64_t connection) {
  const auto take = [&body](const char* name, auto& field) {
    field = body.value(name, field);
  };
  take("delay_ms", delay_ms);
  take("error_status", error_status);
  take("max_in_flight", max_in_flight);
  take("cut_at_token", cut_at_token);
  take("lose_cache_events", lose_cache_events);
  take("silent", silent);
  take("lose_answers", lose_answers);
  take("reset_answers", reset_answers);
  take("truncate", truncate);
  take("crossed", crossed);
  take("double_tokens", double_tokens);
  take("skip_tokens", skip_tokens);
  take("null_tokens", null_tokens);
  take("refuse", refuse);
  take("leaving", leaving);
  take("outage", outage);
  take("no_entity_tag", no_entity_tag);
  take("crash_marker", crash_marker);
  if (body.contains("silence_open")) {
    silent_up_to = body["silence_open"].get<bool>() ? connection : 0;
  }
}

}  // namespace gentianroute::standin
