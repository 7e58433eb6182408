#include "platform.h"

#include <utility>
#include <vector>

namespace gentianroute::standin {
namespace {

using nlohmann::json;

constexpr std::string_view kObjectsPath = "/v1/objects/";
constexpr std::string_view kHostsPath = "/v1/hosts";

HttpResponse JsonResponse(int status, const json& body) {
  return {status, {{"content-type", "application/json"}}, body.dump()};
}

std::uint64_t HeaderBytes(const HttpHeaders& headers) {
  constexpr std::size_t kSeparatorBytes = 4;  // ": " and CRLF
  std::uint64_t size = 0;
  for (const HttpHeader& header : headers) {
    size += header.name.size() + header.value.size() + kSeparatorBytes;
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
  if (faults_.IsSilent(request.connection_id)) {
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
  const HttpResponse response = HandleCall(request);
  CountTraffic(request, response);
  if (faults_.lose_answers) {
    return;
  }
  loop_.After(std::chrono::milliseconds(faults_.delay_ms),
              [responder, response] { responder->Send(response); });
}

HttpResponse Platform::HandleCall(const HttpRequest& request) {
  try {
    if (request.path == "/v1/transact") {
      return HandleTransact(json::parse(request.body));
    }
    if (request.path == "/v1/read") {
      return HandleRead(json::parse(request.body));
    }
    if (request.path == kHostsPath) {
      return HandleListHosts(request);
    }
    if (request.path.starts_with(kObjectsPath)) {
      return HandleObject(request);
    }
  } catch (const json::exception& error) {
    return JsonResponse(400, {{"error", error.what()}});
  }
  return JsonResponse(404, {{"error", "no such path"}});
}

void Platform::CountTraffic(const HttpRequest& request,
                            const HttpResponse& response) {
  ++traffic_.requests;
  traffic_.bytes_in += request.method.size() + request.path.size() +
                       HeaderBytes(request.headers) + request.body.size();
  traffic_.bytes_out += HeaderBytes(response.headers) + response.body.size();
  if (request.path == kHostsPath && response.status == 200) {
    ++traffic_.whole_lists;
  }
}

HttpResponse Platform::HandleListHosts(const HttpRequest& request) const {
  HttpResponse response = JsonResponse(200, {{"hosts", hosts_}});
  if (faults_.no_entity_tag) {
    return response;
  }
  const std::string entity_tag = "\"" + std::to_string(hosts_version_) + "\"";
  if (FindHeader(request.headers, "if-none-match") == entity_tag) {
    return {304, {{"etag", entity_tag}}, ""};
  }
  response.headers.push_back({"etag", entity_tag});
  return response;
}

json Platform::DescribeRow(const RowKey& key) const {
  const auto row = rows_.find(key);
  const bool exists = row != rows_.end();
  return {{"table", key.first},
          {"key", key.second},
          {"value", exists ? row->second.value : json(nullptr)},
          {"version", exists ? row->second.version : 0}};
}

HttpResponse Platform::HandleTransact(const json& body) {
  json conflicts = json::array();
  for (const json& condition : body.at("conditions")) {
    const RowKey key{condition.at("table"), condition.at("key")};
    const auto row = rows_.find(key);
    const std::uint64_t version = row == rows_.end() ? 0 : row->second.version;
    if (version != condition.at("version").get<std::uint64_t>()) {
      conflicts.push_back(DescribeRow(key));
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

HttpResponse Platform::HandleRead(const json& body) const {
  json rows = json::array();
  for (const json& key : body.at("keys")) {
    rows.push_back(DescribeRow({key.at("table"), key.at("key")}));
  }
  return JsonResponse(200, {{"rows", rows}});
}

HttpResponse Platform::HandleObject(const HttpRequest& request) {
  const std::string name = request.path.substr(kObjectsPath.size());
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
