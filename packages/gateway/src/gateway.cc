#include "gentianroute/gateway/gateway.h"

#include <utility>

#include "gentianroute/gateway/detail/gateway_impl.h"
#include "gentianroute/observe/metric_writer.h"

namespace gentianroute::gateway {

void Gateway::Impl::AnswerMetrics(RelayExchange& exchange) {
  MetricWriter writer;
  recorder_.Write(writer);
  notices_.Write(writer);
  const auto gauge = [&writer](std::string_view name, std::string_view help,
                               double value) {
    writer.AddMetric(name, "gauge", help);
    writer.AddSample(name, {}, value);
  };
  const TimePoint now = loop_.Now();
  gauge("gentianroute_gateway_deployment_version", "Version in force.",
        table_ == nullptr ? 0.0 : static_cast<double>(table_->version()));
  gauge("gentianroute_gateway_deployment_age_seconds",
        "Time since the store last answered for the configuration.",
        Seconds(deployment_.Age(now)));
  gauge("gentianroute_gateway_servers_age_seconds",
        "Time since the store last answered for the host list.",
        Seconds(server_rows_.Age(now)));
  gauge("gentianroute_gateway_servers", "Backend servers that are listed.",
        static_cast<double>(servers_.size()));
  std::size_t limited = 0;
  servers_.ForEach([&limited](routing::Server& server) {
    limited += server.request_limit().rate() ? 1 : 0;
  });
  gauge("gentianroute_gateway_limited_servers",
        "Servers that name a limit of requests per second.",
        static_cast<double>(limited));
  gauge("gentianroute_gateway_servers_backing_off",
        "Servers that have asked this daemon to send them nothing now.",
        static_cast<double>(notices_.CountBackingOff(now)));
  gauge("gentianroute_gateway_cut_off",
        "1 while this daemon reaches no backend server, otherwise 0.",
        reach_.is_cut_off() ? 1 : 0);
  gauge("gentianroute_gateway_daemons", "Daemons that are alive.",
        static_cast<double>(cluster_.live_daemons()));
  gauge("gentianroute_gateway_active_requests",
        "Requests under way, or with an answer not sent in full.",
        static_cast<double>(callers_->active_requests()));
  WriteMemory(writer);
  gauge("gentianroute_gateway_stage_calls", "Stage calls sent.",
        static_cast<double>(stage_scheduler_.calls_sent()));
  gauge("gentianroute_gateway_stage_calls_broken",
        "Stage calls without a complete answer.",
        static_cast<double>(stage_scheduler_.calls_broken()));
  gauge("gentianroute_gateway_stage_pieces", "Stage pieces sent.",
        static_cast<double>(stage_scheduler_.pieces_sent()));
  gauge("gentianroute_gateway_stage_groups_moved",
        "Groups that were moved to a faster pool.",
        static_cast<double>(stage_scheduler_.groups_moved()));
  gauge("gentianroute_gateway_stage_groups_refused_promptly",
        "Groups that can't be done in time, ended within 250 ms.",
        static_cast<double>(stage_scheduler_.refused_promptly()));
  gauge("gentianroute_gateway_stage_groups_refused_late",
        "Groups that can't be done in time, ended after more than 250 ms.",
        static_cast<double>(stage_scheduler_.refused_late()));
  exchange.Respond(detail::kOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                   writer.text());
}

void Gateway::Impl::WriteMemory(MetricWriter& writer) const {
  constexpr std::string_view kHeld = "gentianroute_gateway_held_bytes";
  writer.AddMetric(kHeld, "gauge", "Bytes held for callers, by kind.");
  for (std::size_t kind = 0; kind < admission::kHeldKindNames.size(); ++kind) {
    const MetricLabel label{"kind", admission::kHeldKindNames[kind]};
    const auto bytes = memory_.held(static_cast<admission::HeldKind>(kind));
    writer.AddSample(kHeld, {&label, 1}, static_cast<std::uint64_t>(bytes));
  }
  const auto counter = [&writer](std::string_view name, std::string_view help,
                                 std::uint64_t value) {
    writer.AddMetric(name, "counter", help);
    writer.AddSample(name, {}, value);
  };
  counter("gentianroute_gateway_bodies_waited_total",
          "Requests whose body had to wait for memory.",
          callers_->bodies_waited());
  counter("gentianroute_gateway_bodies_refused_total",
          "Requests refused for want of memory for their body.",
          callers_->bodies_refused());
}

Gateway::Gateway(EventLoop& loop,
                 GatewaySettings settings,
                 RelayClient& client,
                 const Translator& translator,
                 Store& store)
    : impl_(std::make_unique<Impl>(loop,
                                   std::move(settings),
                                   client,
                                   translator,
                                   store)) {}
Gateway::~Gateway() = default;
void Gateway::Drain(std::function<void()> done) {
  impl_->Drain(std::move(done));
}

}  // namespace gentianroute::gateway
