#ifndef GENTIANROUTE_ENTRY_OPERATOR_API_H_
#define GENTIANROUTE_ENTRY_OPERATOR_API_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "gentianroute/entry/config_sync.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/http.h"

namespace gentianroute {

/// @brief Executes the operators' requests.
class OperatorHandler {
 public:
  virtual ~OperatorHandler() = default;
  virtual bool IsReady() const = 0;
  virtual nlohmann::json Status() const = 0;
  /// @brief All current documents, as the response body of /v1/documents.
  virtual nlohmann::json ListDocuments() const = 0;
  virtual const gentianroute::Documents& CurrentDocuments() const = 0;
  virtual nlohmann::json History() const = 0;
  virtual nlohmann::json Report() const = 0;
  virtual std::string Metrics() const = 0;
  virtual void Apply(ConfigRevision change,
                     const ConfigSync::DoneCallback& done) = 0;
  virtual void StartDrain() = 0;
};

/// @brief The operators' HTTP interface; docs/OPERATING.md describes it.
class OperatorApi {
 public:
  OperatorApi(EventLoop& loop, OperatorHandler& handler)
      : loop_(loop), handler_(handler) {}

  void OnRequest(const HttpRequest& request,
                 const std::shared_ptr<HttpResponder>& responder);

 private:
  using Route = void (OperatorApi::*)(const HttpRequest&,
                                      const std::shared_ptr<HttpResponder>&);
  struct RouteEntry;
  static const RouteEntry kRoutes[];

  void Health(const HttpRequest& request,
              const std::shared_ptr<HttpResponder>& responder);
  void Readiness(const HttpRequest& request,
                 const std::shared_ptr<HttpResponder>& responder);
  void Metrics(const HttpRequest& request,
               const std::shared_ptr<HttpResponder>& responder);
  void Status(const HttpRequest& request,
              const std::shared_ptr<HttpResponder>& responder);
  void Documents(const HttpRequest& request,
                 const std::shared_ptr<HttpResponder>& responder);
  void History(const HttpRequest& request,
               const std::shared_ptr<HttpResponder>& responder);
  void Report(const HttpRequest& request,
              const std::shared_ptr<HttpResponder>& responder);
  void Apply(const HttpRequest& request,
             const std::shared_ptr<HttpResponder>& responder);
  void Drain(const HttpRequest& request,
             const std::shared_ptr<HttpResponder>& responder);

  EventLoop& loop_;
  OperatorHandler& handler_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_ENTRY_OPERATOR_API_H_
