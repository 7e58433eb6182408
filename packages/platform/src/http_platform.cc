#include "gentianroute/platform/http_platform.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "gentianroute/base/json_number.h"
#include "gentianroute/observe/log.h"

namespace gentianroute {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

json ToJson(const TableKey& key) {
  return {{"table", key.table}, {"key", key.key}};
}

json ToJson(const TableTransaction& transaction) {
  json conditions = json::array();
  for (const TableCondition& condition : transaction.conditions) {
    json item = ToJson(condition.key);
    item["version"] = condition.version;
    conditions.push_back(std::move(item));
  }
  json writes = json::array();
  for (const TableWrite& write : transaction.writes) {
    json item = ToJson(write.key);
    item["value"] =
        write.value.has_value() ? json(*write.value) : json(nullptr);
    writes.push_back(std::move(item));
  }
  return {{"conditions", std::move(conditions)}, {"writes", std::move(writes)}};
}

TableRow ParseRow(const json& item) {
  return {{item.at("table"), item.at("key")},
          item.at("value").is_null() ? std::string()
                                     : item.at("value").get<std::string>(),
          item.at("version")};
}

std::vector<TableRow> ParseRows(const json& items) {
  std::vector<TableRow> rows;
  for (const json& item : items) {
    rows.push_back(ParseRow(item));
  }
  return rows;
}

/// Returns kRefused only if the service can't have applied the transaction;
/// after a lost response it may have, which is kUnknown.
TableStatus ToTableStatus(const HttpResult& result) {
  if (!result.complete) {
    return result.error == HttpCallError::kConnect ? TableStatus::kRefused
                                                   : TableStatus::kUnknown;
  }
  switch (result.status) {
    case kOk:
      return TableStatus::kCommitted;
    case kConflict:
      return TableStatus::kConditionFailed;
    case kTooManyRequests:
    case kUnavailable:
      return TableStatus::kRefused;
    default:
      return TableStatus::kUnknown;
  }
}

TransactResult ParseTransactResult(const HttpResult& result) {
  TransactResult parsed;
  parsed.status = ToTableStatus(result);
  try {
    if (parsed.status == TableStatus::kCommitted) {
      parsed.versions = json::parse(result.body)
                            .at("versions")
                            .get<std::vector<std::uint64_t>>();
    }
    if (parsed.status == TableStatus::kConditionFailed) {
      parsed.conflicts = ParseRows(json::parse(result.body).at("conflicts"));
    }
  } catch (const json::exception&) {
    return {};  // a malformed response leaves the outcome unknown
  }
  return parsed;
}

ReadResult ParseReadResult(const HttpResult& result) {
  if (!result.complete || result.status != kOk) {
    return {};
  }
  try {
    return {true, ParseRows(json::parse(result.body).at("rows"))};
  } catch (const json::exception&) {
    return {};
  }
}

/// @return nullopt if the port is out of range
/// @throws json::exception if a field is missing or of another type
std::optional<HostRecord> ParseHost(const json& item) {
  const auto port = ReadUnsigned<std::uint16_t>(item.at("port"));
  if (!port || *port == 0) {
    return std::nullopt;
  }
  HostRecord host;
  host.name = item.at("name");
  host.address = item.at("address");
  host.port = *port;
  host.pool = item.at("pool");
  host.data_centre = item.at("data_centre");
  host.region = item.at("region");
  host.incarnation = item.at("incarnation");
  host.slots = item.value("slots", 1U);
  host.leaving = item.value("leaving", false);
  host.load = item.value("load", 0U);
  host.load_age = std::chrono::milliseconds(item.value("load_age_ms", 0));
  return host;
}

/// An entry that can't be read must not hide the changes of all others.
std::vector<HostRecord> ParseHosts(const json& items) {
  std::vector<HostRecord> hosts;
  std::size_t unreadable = 0;
  for (const json& item : items) {
    try {
      if (auto host = ParseHost(item)) {
        hosts.push_back(std::move(*host));
        continue;
      }
    } catch (const json::exception&) {
      // Counted below, like an entry with a port out of range.
    }
    ++unreadable;
  }
  if (unreadable > 0) {
    LogEvent("hosts_unreadable", LogLevel::kWarning)
        .Field("entries", unreadable)
        .Field("hosts", hosts.size());
  }
  return hosts;
}

HttpCall MakeCall(std::string method, std::string path, std::string body = {}) {
  HttpCall call;
  call.method = std::move(method);
  call.path = std::move(path);
  call.body = std::move(body);
  call.headers = {{"content-type", "application/json"}};
  return call;
}

}  // namespace

HttpPlatform::HttpPlatform(EventLoop& loop, HttpClient& client, Options options)
    : loop_(loop), client_(client), options_(std::move(options)) {}

void HttpPlatform::Call(HttpCall call, std::function<void(HttpResult)> done) {
  struct Pending {
    std::function<void(HttpResult)> done;
    TimerId timer;
    HttpCallId call;
  };
  auto pending = std::make_shared<Pending>();
  pending->done = std::move(done);
  call.address = options_.address;
  call.port = options_.port;
  pending->call = client_.Call(
      std::move(call), CollectResponse([this, pending](HttpResult result) {
        loop_.Cancel(pending->timer);
        std::exchange(pending->done, nullptr)(std::move(result));
      }));
  if (pending->done == nullptr) {
    return;
  }
  pending->timer = loop_.After(options_.timeout, [this, pending] {
    client_.Cancel(pending->call);
    // The idle connections to the same address may be dead as well.
    client_.DiscardIdleConnections(options_.address, options_.port);
    HttpResult timed_out;
    timed_out.error = HttpCallError::kReset;
    timed_out.detail = "no answer in time";
    std::exchange(pending->done, nullptr)(std::move(timed_out));
  });
}

void HttpPlatform::Transact(TableTransaction transaction,
                            std::function<void(TransactResult)> done) {
  Call(MakeCall("POST", "/v1/transact", ToJson(transaction).dump()),
       [done = std::move(done)](const HttpResult& result) {
         done(ParseTransactResult(result));
       });
}

void HttpPlatform::Read(std::vector<TableKey> keys,
                        std::function<void(ReadResult)> done) {
  json items = json::array();
  for (const TableKey& key : keys) {
    items.push_back(ToJson(key));
  }
  Call(MakeCall("POST", "/v1/read", json{{"keys", std::move(items)}}.dump()),
       [done = std::move(done)](const HttpResult& result) {
         done(ParseReadResult(result));
       });
}

void HttpPlatform::Get(std::string name,
                       std::function<void(ObjectResult)> done) {
  Call(MakeCall("GET", "/v1/objects/" + name),
       [done = std::move(done)](HttpResult result) {
         const bool found = result.complete && result.status == kOk;
         const bool absent = result.complete && result.status == kNotFound;
         ObjectResult object;
         object.answered = found || absent;
         if (found) {
           object.content = std::move(result.body);
         }
         done(std::move(object));
       });
}

void HttpPlatform::Put(std::string name,
                       std::string content,
                       std::function<void(bool)> done) {
  Call(MakeCall("PUT", "/v1/objects/" + name, std::move(content)),
       [done = std::move(done)](const HttpResult& result) {
         done(result.complete && result.status == kOk);
       });
}

void HttpPlatform::List(std::function<void(HostListResult)> done) {
  HttpCall call = MakeCall("GET", "/v1/hosts");
  if (!host_list_etag_.empty()) {
    call.headers.push_back({"if-none-match", host_list_etag_});
  }
  Call(std::move(call),
       [this, done = std::move(done)](const HttpResult& result) {
         done(ParseHostList(result));
       });
}

HostListResult HttpPlatform::ParseHostList(const HttpResult& result) {
  HostListResult listing;
  if (!result.complete) {
    return listing;
  }
  if (result.status == kNotModified) {
    listing.answered = true;
    return listing;
  }
  if (result.status != kOk) {
    return listing;
  }
  try {
    const json parsed = json::parse(result.body);
    const json& items = parsed.at("hosts");
    if (!items.is_array()) {
      return {};
    }
    listing.hosts = ParseHosts(items);
  } catch (const json::exception&) {
    return {};
  }
  listing.answered = true;
  listing.changed = true;
  host_list_etag_ = FindHeader(result.headers, "etag");
  return listing;
}

}  // namespace gentianroute
