#include "platform.h"

#include <utility>
#include <vector>

namespace gentianroute::standin {
namespace {

using nlohmann::json;

constexpr std::string_view kObjects = "/v1/objects/";
constexpr std::string_view kHosts = "/v1/hosts";

HttpResponse JsonResponse(int status, const json& body) {
  return {status, {{"content-type", "application/json"}}, body.dump()};
}

std::uint64_t SizeOf(const HttpHeaders& headers) {
  constexpr std::size_t kSeparators = 4;  // ": " and the line's end
  std::uint64_t size = 0;
  for (const HttpHeader& header : headers) {
    size += header.name.size() + header.value.size() + kSeparators;
  }
  return size;
}

}  // namespace

Platform::Platform(EventLoop& loop, std::uint16_t port)
    : loop_(loop),
      server_(loop,
              {.port = port},
              [this](const HttpRequest& request,
                     const std::shared_ptr<HttpResponder>& responder) {
                OnRequest(request, responder);
              }) {}

void Platform::OnRequest(const HttpRequest& request,
                         const std::shared_ptr<HttpResponder>& responder) {
  if (request.path == "/control/faults") {
    faults_.Update(json::parse(request.body), request.connection_id);
    responder->Send(JsonResponse(200, json::object()));
    return;
  }
  if (request.path == "/control/hosts") {
    hosts_ = json::parse(request.body);
    ++hosts_version_;
    responder->Send(JsonResponse(200, json::object()));
    return;
  }
  if (request.path == "/control/traffic") {
    responder->Send(JsonResponse(200, {{"requests", traffic_.requests},
                                       {"bytes_in", traffic_.bytes_in},
                                       {"bytes_out", traffic_.bytes_out},
                                       {"whole_lists", traffic_.whole_lists}}));
    return;
  }
  if (faults_.Silent(request.connection_id)) {
    return;
  }
  if (faults_.outage) {
    responder->Abort();
    return;
  }
  if (faults_.error_status != 0) {
    responder->Send(
        JsonResponse(static_cast<int>(faults_.error_status), json::object()));
    return;
  }
  const HttpResponse response = Answer(request);
  Count(request, response);
  if (faults_.lose_answers) {
    return;
  }
  loop_.After(std::chrono::milliseconds(faults_.delay_ms),
              [responder, response] { responder->Send(response); });
}

HttpResponse Platform::Answer(const HttpRequest& request) {
  try {
    if (request.path == "/v1/transact") {
      return Transact(json::parse(request.body));
    }
    if (request.path == "/v1/read") {
      return Read(json::parse(request.body));
    }
    if (request.path == kHosts) {
      return ListHosts(request);
    }
    if (request.path.starts_with(kObjects)) {
      return Object(request);
    }
  } catch (const json::exception& error) {
    return JsonResponse(400, {{"error", error.what()}});
  }
  return JsonResponse(404, {{"error", "no such path"}});
}

void Platform::Count(const HttpRequest& request, const HttpResponse& response) {
  ++traffic_.requests;
  traffic_.bytes_in += request.method.size() + request.path.size() +
                       SizeOf(request.headers) + request.body.size();
  traffic_.bytes_out += SizeOf(response.headers) + response.body.size();
  if (request.path == kHosts && response.status == 200) {
    ++traffic_.whole_lists;
  }
}

HttpResponse Platform::ListHosts(const HttpRequest& request) const {
  HttpResponse whole = JsonResponse(200, {{"hosts", hosts_}});
  if (faults_.no_entity_tag) {
    return whole;
  }
  const std::string tag = "\"" + std::to_string(hosts_version_) + "\"";
  if (FindHeader(request.headers, "if-none-match") == tag) {
    return {304, {{"etag", tag}}, ""};
  }
  whole.headers.push_back({"etag", tag});
  return whole;
}

json Platform::Describe(const RowKey& key) const {
  const auto row = rows_.find(key);
  const bool present = row != rows_.end();
  return {{"table", key.first},
          {"key", key.second},
          {"value", present ? row->second.value : json(nullptr)},
          {"version", present ? row->second.version : 0}};
}

HttpResponse Platform::Transact(const json& body) {
  json conflicts = json::array();
  for (const json& condition : body.at("conditions")) {
    const RowKey key{condition.at("table"), condition.at("key")};
    const auto row = rows_.find(key);
    const std::uint64_t version = row == rows_.end() ? 0 : row->second.version;
    if (version != condition.at("version").get<std::uint64_t>()) {
      conflicts.push_back(Describe(key));
    }
  }
  if (!conflicts.empty()) {
    return JsonResponse(409, {{"conflicts", conflicts}});
  }
  json versions = json::array();
  for (const json& write : body.at("writes")) {
    const RowKey key{write.at("table"), write.at("key")};
    const std::uint64_t version = next_version_++;
    if (write.at("value").is_null()) {
      rows_.erase(key);
    } else {
      rows_[key] = {write.at("value"), version};
    }
    versions.push_back(version);
  }
  return JsonResponse(200, {{"versions", versions}});
}

HttpResponse Platform::Read(const json& body) const {
  json rows = json::array();
  for (const json& key : body.at("keys")) {
    rows.push_back(Describe({key.at("table"), key.at("key")}));
  }
  return JsonResponse(200, {{"rows", rows}});
}

HttpResponse Platform::Object(const HttpRequest& request) {
  const std::string name = request.path.substr(kObjects.size());
  if (request.method == "PUT") {
    objects_[name] = request.body;
    return JsonResponse(200, json::object());
  }
  const auto found = objects_.find(name);
  if (found == objects_.end()) {
    return JsonResponse(404, {{"error", "no such object"}});
  }
  return {200, {}, found->second};
}

}  // namespace gentianroute::standin
