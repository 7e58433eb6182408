#include "gentianroute/loop/relay_http_client.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/stream_socket.h"

using namespace gentianroute;
using std::chrono::milliseconds;

namespace {

enum class ConnectionEnd : std::uint8_t { kNone, kClose, kReset };

/// A client, and a server that answers each request with the same bytes.
struct RawAnswerFixture {
  class Connection final : public StreamSocket::Observer {
   public:
    Connection(RawAnswerFixture& fixture, st_h2o_socket_t* socket)
        : fixture_(fixture),
          socket_(std::make_unique<StreamSocket>(socket, *this)) {}

    void OnData(std::string_view /*data*/) override {
      socket_->Write(fixture_.answer);
      if (fixture_.end == ConnectionEnd::kNone) {
        return;
      }
      fixture_.loop.After(milliseconds(5), [this] {
        if (fixture_.end == ConnectionEnd::kReset) {
          socket_->ResetOnClose();
        }
        socket_.reset();
      });
    }
    void OnEnd(StreamEnd /*end*/) override {}

   private:
    RawAnswerFixture& fixture_;
    std::unique_ptr<StreamSocket> socket_;
  };

  std::string answer;
  ConnectionEnd end = ConnectionEnd::kNone;
  EventLoop loop;
  std::vector<std::unique_ptr<Connection>> connections;
  std::unique_ptr<EventLoop::Listener> listener =
      loop.Listen("127.0.0.1", 0, [this](st_h2o_socket_t* socket) {
        connections.push_back(std::make_unique<Connection>(*this, socket));
      });
  RelayHttpClient client{loop};

  /// Makes a call and runs the loop until it ends, or has no more to read.
  HttpResult Fetch() {
    HttpCall call;
    call.address = "127.0.0.1";
    call.port = listener->port();
    HttpResult result;
    bool ended = false;
    const HttpCallId id =
        client.Call(std::move(call), CollectResponse([&](HttpResult response) {
                      result = std::move(response);
                      ended = true;
                      loop.Stop();
                    }));
    const TimerId guard =
        loop.After(milliseconds(500), [this] { loop.Stop(); });
    loop.Run();
    loop.Cancel(guard);
    if (!ended) {
      client.Cancel(id);
    }
    return result;
  }
};

void ExpectNoneIsComplete(const std::vector<std::string>& answers,
                          ConnectionEnd end) {
  for (const std::string& answer : answers) {
    RawAnswerFixture fixture;
    fixture.answer = answer;
    fixture.end = end;
    const HttpResult result = fixture.Fetch();
    cr_expect_not(result.complete, "status %d, body '%s' after '%s'",
                  result.status, result.body.c_str(), answer.c_str());
  }
}

std::string AnswerWith(const std::string& status, const std::string& fields) {
  return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: 2\r\n\r\nhi";
}

}  // namespace

TestSuite(relay_http_client);

Test(relay_http_client, whole_answer_is_complete) {
  RawAnswerFixture fixture;
  fixture.answer = AnswerWith("200 OK", "X-A: b\r\n");
  const HttpResult result = fixture.Fetch();
  cr_assert(result.complete);
  cr_assert_eq(result.body, "hi");
}

// Guards against an answer whose status none can have being used as one.
Test(relay_http_client, status_of_no_class_is_not_complete) {
  std::vector<std::string> answers;
  for (const char* status :
       {"000", "001", "099", "600", "999", "20", "2000", "-20", "2x0", ""}) {
    answers.push_back(AnswerWith(std::string(status) + " Odd", ""));
  }
  ExpectNoneIsComplete(answers, ConnectionEnd::kNone);
}

// Guards against a line that is no field being dropped, or joined to another.
Test(relay_http_client,
     field_name_holds_a_blank_or_control_byte_is_not_complete) {
  std::vector<std::string> answers;
  for (const std::string name :
       {" X-Odd", "\tX-Odd", " ", "X Odd", "X-Odd ", "X-Odd\t", "X\tOdd",
        "X\x01Odd", "X-Odd\x7f", "X\x80Odd", "", "Content-Length ",
        "Content-Length\x01", "Transfer-Encoding "}) {
    answers.push_back(AnswerWith("200 OK", "X-A: b\r\n" + name + ": 1\r\n"));
  }
  answers.push_back(AnswerWith("200 OK", std::string("X\0Odd: 1\r\n", 10)));
  answers.push_back(AnswerWith("200 OK", "no colon\r\n"));
  ExpectNoneIsComplete(answers, ConnectionEnd::kNone);
}

// Guards against a head that breaks off passing for an answer without a body.
Test(relay_http_client, connection_ends_within_the_head_is_not_complete) {
  const std::string whole =
      "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 0\r\n\r\n";
  std::vector<std::string> answers;
  for (std::size_t size = 0; size < whole.size(); ++size) {
    answers.push_back(whole.substr(0, size));
  }
  ExpectNoneIsComplete(answers, ConnectionEnd::kClose);
  ExpectNoneIsComplete(answers, ConnectionEnd::kReset);
}

// Guards against a part of a body passing for a whole one.
Test(relay_http_client, connection_ends_within_the_body_is_not_complete) {
  const std::string with_length =
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n123456789";
  const std::string in_chunks =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::vector<std::string> answers = {
      with_length, with_length.substr(0, with_length.size() - 9),
      "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\npart"};
  const std::string chunks = "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
  for (std::size_t size = 0; size < chunks.size(); ++size) {
    answers.push_back(in_chunks + chunks.substr(0, size));
  }
  ExpectNoneIsComplete(answers, ConnectionEnd::kClose);
  ExpectNoneIsComplete(answers, ConnectionEnd::kReset);
}

// Guards against the bytes of a coding that nobody undoes passing for the body,
// and against two accounts of where a body ends.
Test(relay_http_client, ambiguous_framing_is_not_complete) {
  std::vector<std::string> answers;
  for (const std::string fields :
       {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked, gzip\r\n",
        "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
        "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 2\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nContent-Length: 2\r\n", "Content-Length: -1\r\n",
        "Content-Length: 2x\r\n", "Content-Length: \r\n",
        "Content-Length: 99999999999999999999999\r\n"}) {
    answers.push_back("HTTP/1.1 200 OK\r\n" + fields +
                      "\r\n2\r\nhi\r\n0\r\n\r\n");
  }
  ExpectNoneIsComplete(answers, ConnectionEnd::kClose);
}
