#ifndef GENTIANROUTE_TESTS_PROCESS_KEPT_CONNECTION_H_
#define GENTIANROUTE_TESTS_PROCESS_KEPT_CONNECTION_H_

#include <criterion/criterion.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gentianroute/loop/message_parser.h"
#include "gentianroute/loop/stream_socket.h"

namespace gentianroute::testing {

/// @brief A caller's connection that is used for several requests. Closes when
/// the server does.
class KeptConnection final : public StreamSocket::Observer {
 public:
  struct Answer {
    MessageHead head;
    std::string body;

    bool AnnouncesClose() const {
      return FieldValue(head.fields, "Connection") == "close";
    }
  };

  KeptConnection(EventLoop& loop, std::uint16_t port)
      : parser_(MessageParser::Kind::kResponse, {}),
        socket_(
            std::make_unique<StreamSocket>(loop, "127.0.0.1", port, *this)) {}

  /// @brief Sends bytes; does nothing once the connection is closed.
  void Send(std::string_view bytes) {
    if (!closed()) {
      socket_->Write(bytes);
    }
  }
  /// @brief Sends bytes without a copy, see StreamSocket.
  void SendOwned(std::string data, SharedBodyPtr body) {
    if (!closed()) {
      socket_->WriteOwned(std::move(data), std::move(body));
    }
  }
  /// @brief The complete answers, in order.
  const std::vector<Answer>& answers() const { return answers_; }
  bool closed() const { return socket_ == nullptr; }
  /// @brief Whether there is nothing more to wait for.
  bool HasAnswersOrEnd(std::size_t count) const {
    return closed() || answers_.size() == count;
  }

  void OnData(std::string_view data) override {
    using Event = MessageParser::Event;
    parser_.Feed(data);
    for (Event event = parser_.Poll(); event != Event::kNeedMore;
         event = parser_.Poll()) {
      OnEvent(event);
    }
  }
  void OnEnd(StreamEnd /*end*/) override { socket_.reset(); }

 private:
  void OnEvent(MessageParser::Event event) {
    switch (event) {
      case MessageParser::Event::kHead:
        current_.head = std::move(parser_.head());
        return;
      case MessageParser::Event::kBody:
        current_.body += parser_.body();
        return;
      case MessageParser::Event::kEnd:
        answers_.push_back(std::exchange(current_, {}));
        parser_.StartNext({});
        return;
      default:
        cr_assert_fail("not an answer");
    }
  }

  MessageParser parser_;
  std::unique_ptr<StreamSocket> socket_;  ///< null once closed
  Answer current_;
  std::vector<Answer> answers_;
};

}  // namespace gentianroute::testing

#endif  // GENTIANROUTE_TESTS_PROCESS_KEPT_CONNECTION_H_
