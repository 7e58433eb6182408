#include "gentianroute/loop/message_parser.h"

#include <criterion/criterion.h>

using namespace gentianroute;
using Event = MessageParser::Event;

namespace {

constexpr MessageParser::Limits kLimits{1024, 4096};

struct RequestFixture {
  MessageParser parser{MessageParser::Kind::kRequest, kLimits};
  std::string body;

  /// Polls until the end of the message, an error or kNeedMore.
  Event Read(std::string_view bytes) {
    parser.Feed(bytes);
    while (true) {
      const Event event = parser.Poll();
      if (event == Event::kBody) {
        body += parser.body();
      } else if (event != Event::kHead) {
        return event;
      }
    }
  }
};

struct ResponseFixture {
  MessageParser parser{MessageParser::Kind::kResponse, kLimits};

  Event Read(std::string_view bytes) {
    parser.Feed(bytes);
    Event event = parser.Poll();
    while (event == Event::kHead || event == Event::kBody) {
      event = parser.Poll();
    }
    return event;
  }
};

}  // namespace

Test(message_parser, target_stays_as_it_was_sent) {
  RequestFixture fixture;
  cr_assert(
      fixture.Read("GET /a/../b//%2e?x=%20 HTTP/1.1\r\nHost: h\r\n\r\n") ==
      Event::kEnd);
  cr_assert(fixture.parser.head().target == "/a/../b//%2e?x=%20");
}

Test(message_parser, body_with_a_length_and_in_chunks) {
  RequestFixture with_length;
  cr_assert(
      with_length.Read("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc") ==
      Event::kEnd);
  cr_assert(with_length.body == "abc");
  RequestFixture chunked;
  cr_assert(chunked.Read("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n") == Event::kEnd);
  cr_assert(chunked.body == "abc");
}

Test(message_parser, request_byte_by_byte) {
  RequestFixture fixture;
  const std::string text =
      "POST /p HTTP/1.1\r\nContent-Length: 2\r\nHost: h\r\n\r\nhi";
  for (std::size_t i = 0; i + 1 < text.size(); ++i) {
    cr_assert(fixture.Read(text.substr(i, 1)) == Event::kNeedMore);
  }
  cr_assert(fixture.Read(text.substr(text.size() - 1)) == Event::kEnd);
  cr_assert(fixture.body == "hi");
}

// Request smuggling: if two hops disagree on where a body ends, one of them
// takes the rest of the body for another request.
Test(message_parser, smuggled_requests_are_malformed) {
  for (const std::string_view fields :
       {"Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: chunked, identity\r\n", "Content-Length: -1\r\n",
        "Content-Length: 3x\r\n", "Host : h\r\n",
        "Host: a\r\nHost: b\r\nContent-Length: 3\r\n",
        "Host: a\r\nhost: a\r\nContent-Length: 3\r\n"}) {
    RequestFixture fixture;
    const std::string text =
        "POST / HTTP/1.1\r\n" + std::string(fields) + "\r\nabc";
    cr_assert(fixture.Read(text) == Event::kMalformed, "%s", fields.data());
  }
}

Test(message_parser, pipelined_request_stays_buffered) {
  RequestFixture fixture;
  const std::string first = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
  cr_assert(fixture.Read(first + "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n") ==
            Event::kEnd);
  cr_assert(fixture.parser.head().target == "/1");
  fixture.parser.StartNext(kLimits);
  cr_assert(fixture.Read("") == Event::kEnd);
  cr_assert(fixture.parser.head().target == "/2");
}

Test(message_parser, head_and_body_limits_are_distinguished) {
  RequestFixture head;
  cr_assert(head.Read("GET / HTTP/1.1\r\nX: " + std::string(2000, 'x')) ==
            Event::kHeadTooLarge);
  RequestFixture body;
  cr_assert(body.Read("POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n") ==
            Event::kBodyTooLarge);
}

Test(message_parser, response_without_a_length_ends_with_its_connection) {
  ResponseFixture fixture;
  cr_assert(fixture.Read("HTTP/1.1 200 OK\r\n\r\npart") == Event::kNeedMore);
  fixture.parser.FeedEof();
  cr_assert(fixture.parser.Poll() == Event::kEnd);
}

Test(message_parser, truncated_response_is_malformed) {
  ResponseFixture fixture;
  cr_assert(fixture.Read("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart") ==
            Event::kNeedMore);
  fixture.parser.FeedEof();
  cr_assert(fixture.parser.Poll() == Event::kMalformed);
}

Test(message_parser, bytes_after_a_response_are_detected) {
  ResponseFixture fixture;
  fixture.Read("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200");
  fixture.parser.StartNext(kLimits);
  cr_assert(fixture.parser.started());
}

// An empty chunked body that arrives in two parts fails an assertion in Beast's
// parser, which would terminate the process.
Test(message_parser, empty_chunked_body_split_anywhere_is_parsed) {
  const std::string text =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "0\r\n\r\n";
  for (std::size_t split = 1; split < text.size(); ++split) {
    RequestFixture fixture;
    cr_assert(fixture.Read(text.substr(0, split)) == Event::kNeedMore, "%zu",
              split);
    cr_assert(fixture.Read(text.substr(split)) == Event::kEnd, "%zu", split);
  }
}

// Guards against a response of a server in trouble being taken for an interim
// one, or being passed on.
Test(message_parser, response_with_a_status_of_no_class_is_malformed) {
  for (const std::string_view status :
       {"000", "001", "099", "600", "999", "20", "2000", "-20", "2x0", ""}) {
    ResponseFixture fixture;
    cr_assert(fixture.Read("HTTP/1.1 " + std::string(status) +
                           " Odd\r\nContent-Length: 2\r\n\r\nhi") ==
                  Event::kMalformed,
              "%s", status.data());
  }
  for (const std::string_view status : {"100", "200", "599"}) {
    ResponseFixture fixture;
    cr_assert(fixture.Read("HTTP/1.1 " + std::string(status) +
                           " X\r\nContent-Length: 0\r\n\r\n") == Event::kEnd,
              "%s", status.data());
  }
}

// Guards against a line that a server in trouble begins with a blank being
// joined to the field before it, whose value callers then get changed.
Test(message_parser, response_with_a_folded_line_is_malformed) {
  for (const std::string_view line :
       {" X: 1", "\tX: 1", " ", "\t", "  two blanks"}) {
    const std::string text = "HTTP/1.1 200 OK\r\nA: b\r\n" + std::string(line) +
                             "\r\nContent-Length: 4\r\n\r\n\r\n b";
    ResponseFixture whole;
    cr_assert(whole.Read(text) == Event::kMalformed, "'%s'", line.data());
    ResponseFixture in_parts;
    Event last = Event::kNeedMore;
    for (const char c : text) {
      last = in_parts.Read({&c, 1});
    }
    cr_assert(last == Event::kMalformed, "'%s'", line.data());
  }
  ResponseFixture body_only;
  cr_assert(body_only.Read("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
                           "\r\n b") == Event::kEnd);
}

// Guards against the bytes of a coding that nobody undoes passing for the body.
Test(message_parser, response_in_another_coding_than_chunks_is_malformed) {
  for (const std::string_view fields :
       {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked, gzip\r\n",
        "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: \r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
        "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"}) {
    ResponseFixture fixture;
    cr_assert(fixture.Read("HTTP/1.1 200 OK\r\n" + std::string(fields) +
                           "\r\n2\r\nhi\r\n0\r\n\r\n") == Event::kMalformed,
              "%s", fields.data());
  }
  for (const std::string_view coding : {"chunked", "Chunked", " chunked "}) {
    ResponseFixture fixture;
    cr_assert(fixture.Read("HTTP/1.1 200 OK\r\nTransfer-Encoding:" +
                           std::string(coding) +
                           "\r\n\r\n2\r\nhi\r\n0\r\n\r\n") == Event::kEnd,
              "%s", coding.data());
  }
}

// Guards against fields after the body passing for those of the head, which say
// for one that a request has not run, if all comes in one read.
Test(message_parser, trailers_are_not_fields_of_the_head) {
  ResponseFixture response;
  cr_assert(
      response.Read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "2\r\nhi\r\n0\r\nX-Late: 1\r\n\r\n") == Event::kEnd);
  cr_assert_eq(response.parser.head().fields.size(), 1);
  RequestFixture request;
  cr_assert(request.Read("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "2\r\nhi\r\n0\r\nX-Late: 1\r\n\r\n") == Event::kEnd);
  cr_assert_eq(request.parser.head().fields.size(), 1);
}
