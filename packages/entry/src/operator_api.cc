#include "gentianroute/entry/operator_api.h"

#include <optional>
#include <string_view>
#include <utility>

#include "gentianroute/entry/problem.h"
#include "gentianroute/schema/declarations.h"

namespace gentianroute {
namespace {

using nlohmann::json;

constexpr int kUnavailable = 503;
constexpr int kAccepted = 202;

void SendJson(HttpResponder& responder, int status, const json& body) {
  responder.Send(
      {status,
       {{"content-type", "application/json"}},
       body.dump(2, ' ', false, json::error_handler_t::replace) + "\n"});
}

void SendText(HttpResponder& responder, int status, std::string body) {
  responder.Send({status,
                  {{"content-type", "text/plain; version=0.0.4"}},
                  std::move(body)});
}

/// Parses an operator's change; sets `error` if it is malformed.
std::optional<ConfigRevision> ParseChange(const HttpRequest& request,
                                          std::string& error) {
  ConfigRevision change;
  try {
    const json body = json::parse(request.body);
    change.change_id = body.at("change_id");
    change.author = body.at("author");
    for (const json& item : body.at("changes")) {
      const auto kind =
          DocumentKindFromName(item.at("kind").get<std::string>());
      if (!kind.has_value()) {
        error = "changes[].kind: found " + item.at("kind").dump() +
                "; allowed: profile, service or pool";
        return std::nullopt;
      }
      change.changes.push_back(
          {*kind, item.at("name"), item.at("body"), item.at("base_revision")});
    }
  } catch (const json::exception& exception) {
    error = exception.what();
    return std::nullopt;
  }
  if (change.change_id.empty() || change.changes.empty()) {
    error = "change_id and changes must not be empty";
    return std::nullopt;
  }
  return change;
}

/// Describes a conflict with both versions of the document, so that the
/// operator can merge them.
std::string DescribeConflict(const ConfigApplier& applier) {
  const auto text = [](const std::string& body) {
    return body.empty() ? std::string("deleted") : body;
  };
  return std::string(DocumentKindName(applier.conflicting().first)) + " '" +
         applier.conflicting().second +
         "' was modified concurrently; in force since revision " +
         std::to_string(applier.theirs().revision) + ": " +
         text(applier.theirs().body) + "; yours: " + text(applier.ours());
}

leaf::result<void> CheckChange(const ConfigRevision& change,
                               Documents documents) {
  for (const DocumentChange& item : change.changes) {
    if (item.body.empty()) {
      documents.erase(item.FullName());
      continue;
    }
    BOOST_LEAF_CHECK(CheckDocument(item.FullName(), item.body));
    documents[item.FullName()] = {item.body, 0};
  }
  return CheckReferences("in force", documents);
}

/// Returns why a change is invalid; empty if it is valid. A body that no daemon
/// can parse would stay in the log, and its service would disappear without an
/// error message.
std::string FindProblem(const ConfigRevision& change,
                        const Documents& current) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(CheckChange(change, current));
        return std::string();
      },
      [](const SchemaError& error) { return error.Text(); },
      [] { return std::string("the change can't be checked"); });
}

}  // namespace

struct OperatorApi::RouteEntry {
  std::string_view method;
  std::string_view path;
  Route route;
};

const OperatorApi::RouteEntry OperatorApi::kRoutes[] = {
    {"GET", "/healthz", &OperatorApi::Health},
    {"GET", "/readyz", &OperatorApi::Readiness},
    {"GET", "/metrics", &OperatorApi::Metrics},
    {"GET", "/status", &OperatorApi::Status},
    {"GET", "/v1/documents", &OperatorApi::Documents},
    {"GET", "/v1/history", &OperatorApi::History},
    {"GET", "/v1/report", &OperatorApi::Report},
    {"POST", "/v1/apply", &OperatorApi::Apply},
    {"POST", "/v1/drain", &OperatorApi::Drain},
};

void OperatorApi::OnRequest(const HttpRequest& request,
                            const std::shared_ptr<HttpResponder>& responder) {
  bool path_known = false;
  for (const RouteEntry& entry : kRoutes) {
    if (entry.path != request.path) {
      continue;
    }
    path_known = true;
    if (entry.method == request.method) {
      (this->*entry.route)(request, responder);
      return;
    }
  }
  const ErrorKind kind =
      path_known ? ErrorKind::kMethodNotAllowed : ErrorKind::kUnknownService;
  responder->Send(
      ProblemResponse(kind, request.method + " " + request.path, "-"));
}

void OperatorApi::Health(const HttpRequest& /*request*/,
                         const std::shared_ptr<HttpResponder>& responder) {
  SendText(*responder, 200, "ok\n");
}

void OperatorApi::Readiness(const HttpRequest& /*request*/,
                            const std::shared_ptr<HttpResponder>& responder) {
  const bool ready = handler_.IsReady();
  SendText(*responder, ready ? 200 : kUnavailable,
           ready ? "ready\n" : "not ready\n");
}

void OperatorApi::Metrics(const HttpRequest& /*request*/,
                          const std::shared_ptr<HttpResponder>& responder) {
  SendText(*responder, 200, handler_.Metrics());
}

void OperatorApi::Status(const HttpRequest& /*request*/,
                         const std::shared_ptr<HttpResponder>& responder) {
  SendJson(*responder, 200, handler_.Status());
}

void OperatorApi::Documents(const HttpRequest& /*request*/,
                            const std::shared_ptr<HttpResponder>& responder) {
  SendJson(*responder, 200, handler_.ListDocuments());
}

void OperatorApi::History(const HttpRequest& /*request*/,
                          const std::shared_ptr<HttpResponder>& responder) {
  SendJson(*responder, 200, handler_.History());
}

void OperatorApi::Report(const HttpRequest& /*request*/,
                         const std::shared_ptr<HttpResponder>& responder) {
  SendJson(*responder, 200, handler_.Report());
}

void OperatorApi::Apply(const HttpRequest& request,
                        const std::shared_ptr<HttpResponder>& responder) {
  std::string error;
  std::optional<ConfigRevision> change = ParseChange(request, error);
  if (!change.has_value()) {
    responder->Send(ProblemResponse(ErrorKind::kMalformedRequest, error, "-"));
    return;
  }
  error = FindProblem(*change, handler_.CurrentDocuments());
  if (!error.empty()) {
    responder->Send(ProblemResponse(ErrorKind::kInvalidSettings, error, "-"));
    return;
  }
  change->applied_at = loop_.WallTime();
  const std::string id = change->change_id;
  handler_.Apply(std::move(*change), [responder,
                                      id](const ConfigApplier& applier) {
    switch (applier.state()) {
      case ConfigApplier::State::kApplied:
        SendJson(*responder, 200,
                 {{"revision", applier.revision()}, {"change_id", id}});
        return;
      case ConfigApplier::State::kConflict:
        responder->Send(ProblemResponse(ErrorKind::kRevisionConflict,
                                        DescribeConflict(applier), id));
        return;
      case ConfigApplier::State::kInvalid:
        responder->Send(ProblemResponse(ErrorKind::kInvalidSettings,
                                        applier.problem(), id));
        return;
      default:
        responder->Send(ProblemResponse(
            ErrorKind::kPlatformUnreachable,
            "the outcome is unknown; apply the change again with the same id",
            id));
    }
  });
}

void OperatorApi::Drain(const HttpRequest& /*request*/,
                        const std::shared_ptr<HttpResponder>& responder) {
  handler_.StartDrain();
  SendJson(*responder, kAccepted, {{"draining", true}});
}

}  // namespace gentianroute
