#include "gentianroute/gateway/detail/peer_exchange.h"

#include <utility>

#include "gentianroute/gateway/detail/cluster_messages.h"

namespace gentianroute::gateway {

using detail::BytesOf;
using detail::WriteFields;

PeerExchange::PeerExchange(TimePoint now,
                           HandedRequest request,
                           schema::AnswerReader::Client reader,
                           kj::TaskSet& messages,
                           kj::Own<kj::PromiseFulfiller<void>> done)
    : progress_(std::move(request.progress)),
      reader_(kj::mv(reader)),
      messages_(messages),
      done_(
          std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(done))) {
  head_ = std::move(request.head);
  body_ = std::move(request.body);
  start_time_ = now - request.age;
}

PeerExchange::~PeerExchange() noexcept = default;

void PeerExchange::OnCallEnded() {
  if (!std::exchange(answered_, true)) {
    NotifyDisconnect();
  }
}

void PeerExchange::GiveUp() {
  Abort();
  NotifyDisconnect();
}

void PeerExchange::NotifyDisconnect() {
  if (const auto callback = std::exchange(on_disconnect_, nullptr)) {
    callback();
  }
}

void PeerExchange::Respond(int status,
                           const HttpHeaders& fields,
                           std::string_view body) {
  if (std::exchange(answered_, true)) {
    return;
  }
  auto message = reader_.wholeRequest();
  message.setStatus(static_cast<std::uint16_t>(status));
  WriteFields(fields, message.initFields(static_cast<unsigned>(fields.size())));
  message.setBody(BytesOf(body));
  if (source_.leaving) {
    detail::WriteLeavingServer(*source_.leaving, message.initLeaving());
  }
  EndAfter(message.send().ignoreResult());
}

void PeerExchange::Begin(int status, const HttpHeaders& fields) {
  if (answered_) {
    return;
  }
  auto message = reader_.beginRequest();
  message.setStatus(static_cast<std::uint16_t>(status));
  WriteFields(fields, message.initFields(static_cast<unsigned>(fields.size())));
  if (source_.origin) {
    detail::WriteOrigin(*source_.origin, message.initOrigin());
  }
  if (source_.leaving) {
    detail::WriteLeavingServer(*source_.leaving, message.initLeaving());
  }
  messages_.add(message.send().ignoreResult());
}

void PeerExchange::Write(std::string_view part) {
  if (answered_ || part.empty()) {
    return;
  }
  auto message = reader_.partRequest();
  message.setBytes(BytesOf(part));
  *unsent_bytes_ += part.size();
  messages_.add(message.send().ignoreResult().then(
      [unsent = unsent_bytes_, size = part.size()] { *unsent -= size; }));
  if (*unsent_bytes_ > kMaxUnsentBytes) {
    GiveUp();
  }
}

void PeerExchange::End() {
  if (std::exchange(answered_, true)) {
    return;
  }
  auto message = reader_.endRequest();
  message.setComplete(true);
  EndAfter(message.send().ignoreResult());
}

void PeerExchange::Abort() {
  if (std::exchange(answered_, true)) {
    return;
  }
  EndAfter(reader_.endRequest().send().ignoreResult());
}

void PeerExchange::EndAfter(kj::Promise<void> last) {
  // This object may be gone when the message has arrived.
  messages_.add(last.then([done = done_] { (*done)->fulfill(); }));
}

}  // namespace gentianroute::gateway
