#include "faults.h"

namespace gentianroute::standin {

void Faults::Update(const nlohmann::json& body, std::uint64_t connection) {
  const auto read = [&body](const char* name, auto& field) {
    field = body.value(name, field);
  };
  read("delay_ms", delay_ms);
  read("error_status", error_status);
  read("max_in_flight", max_in_flight);
  read("cut_at_token", cut_at_token);
  read("lose_cache_events", lose_cache_events);
  read("silent", silent);
  read("lose_answers", lose_answers);
  read("reset_answers", reset_answers);
  read("truncate", truncate);
  read("crossed", crossed);
  read("double_tokens", double_tokens);
  read("skip_tokens", skip_tokens);
  read("null_tokens", null_tokens);
  read("refuse", refuse);
  read("leaving", leaving);
  read("outage", outage);
  read("no_entity_tag", no_entity_tag);
  read("crash_marker", crash_marker);
  if (body.contains("silence_open")) {
    last_silent_connection = body["silence_open"].get<bool>() ? connection : 0;
  }
}

}  // namespace gentianroute::standin
