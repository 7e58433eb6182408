// Orders before servers of which some are faulty: they send bytes after a
// complete answer, which arrive late, where the next answer is expected.
#ifndef REVIEW_HARNESS_SPOILED_ORDERS_HPP_
#define REVIEW_HARNESS_SPOILED_ORDERS_HPP_

#include <optional>

#include "platform.hpp"

namespace review {

inline constexpr int kRequests = 400;
inline constexpr int kServers = 4;
inline constexpr int kSpoilEvery = 34;  // fewer than 3 in 100 of their answers

class OrderServer {
 public:
  /// @param extra_bytes empty if the server is sound
  OrderServer(std::string name,
              std::string extra_bytes,
              Runs& runs,
              Record& record)
      : name_(std::move(name)),
        extra_bytes_(std::move(extra_bytes)),
        runs_(runs),
        record_(record),
        server_("127.0.0.1", [this](Stream& stream) { Serve(stream); }) {}

  const Address& address() const { return server_.address(); }
  int spoiled() const { return spoiled_; }

 private:
  void Serve(Stream& stream) {
    for (bool is_first = true;; is_first = false) {
      const Message request = ReadMessage(stream, false, 30'000);
      if (!request.whole) {
        return;
      }
      const std::string id = RequestId(request);
      if (!extra_bytes_.empty() && ++answers_ >= kSpoilEvery && !is_first) {
        answers_ = 0;
        ++spoiled_;
        record_.Line(name_ + " sends extra bytes of its last answer before " +
                     "that to " + id);
        stream.Send(extra_bytes_);
      }
      runs_.Add(id);
      record_.Line(name_ + " runs " + id);
      SleepMs(10);
      if (!stream.Send(
              AnswerText(200, "done " + id, SignedFields(name_, id)))) {
        return;
      }
    }
  }

  std::string name_;
  std::string extra_bytes_;
  Runs& runs_;
  Record& record_;
  std::atomic<int> answers_{0};
  std::atomic<int> spoiled_{0};
  Server server_;
};

struct OrdersEnd {
  int spoiled = 0;  ///< how often extra bytes were sent
  int foreign = 0;  ///< successes that no server gave to the order
  int twice = 0;    ///< orders that have run more than once
};

/// Sends orders one after the other over a kept connection.
/// @param extra_bytes of the faulty servers, one after the other
/// @return nullopt if the daemon didn't become ready
inline std::optional<OrdersEnd> SendOrders(
    Record& record,
    const std::string& folder,
    const std::vector<std::string>& extra_bytes) {
  Store store;
  Runs runs;
  std::vector<std::unique_ptr<OrderServer>> servers;
  for (int i = 0; i < kServers; ++i) {
    const std::string name = "i-" + std::to_string(i);
    const bool faulty =
        HasTrouble() && static_cast<std::size_t>(i) < extra_bytes.size();
    servers.push_back(std::make_unique<OrderServer>(
        name, faulty ? extra_bytes[i] : "", runs, record));
    store.Put("servers", name,
              ServerRow("orders", servers.back()->address(), "north", 6));
  }
  store.Put(
      "op", "config",
      Configuration(json::array({Route("order", "/orders/", "non_idempotent",
                                       "orders", 2, 2000)}),
                    json::array({PlainService("orders")})));
  Machine machine("edge-north-1", "north", "127.0.0.1", store.address(),
                  folder);
  machine.Start();
  if (!machine.BecomesReady()) {
    return std::nullopt;
  }
  OrdersEnd end;
  std::unique_ptr<Stream> client;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "order-" + std::to_string(i);
    if (client == nullptr) {
      client = Stream::Connect(machine.frontend());
    }
    client->Send(RequestText("/orders/new", id, 2000, "item"));
    const Message answer = ReadMessage(*client, true, 4000);
    const bool is_own =
        answer.body == "done " + id &&
        !answer.field("Gentianroute-Response-Signature").empty();
    const bool is_foreign = answer.status() / 100 == 2 && !is_own;
    end.foreign += is_foreign ? 1 : 0;
    record.Line((is_foreign ? "FOREIGN: " : "") +
                ("the client gets for " + id) + ": " + answer.start +
                ", signature '" +
                answer.field("Gentianroute-Response-Signature") + "', body '" +
                answer.body + "'");
    if (!answer.whole || answer.field("Connection") == "close") {
      client = nullptr;
    }
  }
  SleepMs(300);
  for (const auto& [id, count] : runs.All()) {
    if (count > 1) {
      ++end.twice;
      record.Line("TWICE: " + id + " has run " + std::to_string(count) +
                  " times");
    }
  }
  for (const auto& server : servers) {
    end.spoiled += server->spoiled();
  }
  record.Line("orders " + std::to_string(kRequests) + ", extra bytes sent " +
              std::to_string(end.spoiled) + " times, foreign successes " +
              std::to_string(end.foreign) + ", run twice " +
              std::to_string(end.twice));
  return end;
}

}  // namespace review

#endif  // REVIEW_HARNESS_SPOILED_ORDERS_HPP_
