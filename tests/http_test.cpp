// HTTP parser: input split at any position, chunked bodies, invalid input and size limits.
#include <gtest/gtest.h>

#include "dunlinknot/http/message.hpp"

namespace dunlinknot::http {
namespace {

using Result = Parser::Result;

Parser request_parser(Limits limits = {}) {
  return Parser(Parser::Kind::request, limits);
}

TEST(HttpParser, ParsesMessagesSplitAtAnyPosition) {
  const std::string text =
      "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
      "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n";
  for (size_t step = 1; step <= text.size(); ++step) {
    Parser parser = request_parser();
    std::vector<Message> messages;
    for (size_t offset = 0; offset < text.size(); offset += step) {
      Result result = parser.feed(std::string_view(text).substr(offset, step));
      while (result == Result::complete) {
        messages.push_back(parser.take());
        result = parser.resume();
      }
      ASSERT_NE(result, Result::failed);
    }
    ASSERT_EQ(messages.size(), 2u) << "step " << step;
    EXPECT_EQ(messages[0].body, "hello");
    EXPECT_EQ(messages[0].target, "/v1/jobs");
    EXPECT_TRUE(messages[0].keep_alive);
    EXPECT_EQ(messages[1].method, "GET");
    EXPECT_FALSE(messages[1].keep_alive);
    EXPECT_TRUE(parser.idle());
  }
}

TEST(HttpParser, ParsesChunkedBody) {
  Parser parser(Parser::Kind::response, {});
  const Result result = parser.feed(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: 1\r\n\r\n");
  ASSERT_EQ(result, Result::complete);
  EXPECT_EQ(parser.take().body, "abcde");
}

struct InvalidRequest {
  std::string text;
  int status;
};
class HttpParserInvalidRequest : public testing::TestWithParam<InvalidRequest> {};

TEST_P(HttpParserInvalidRequest, IsRejectedWithStatus) {
  Parser parser = request_parser(Limits{256, 64});
  ASSERT_EQ(parser.feed(GetParam().text), Result::failed) << GetParam().text;
  EXPECT_EQ(parser.error_status(), GetParam().status);
}

INSTANTIATE_TEST_SUITE_P(
    All, HttpParserInvalidRequest,
    testing::Values(
        InvalidRequest{"nonsense\r\n\r\n", 400}, InvalidRequest{"GET x HTTP/1.1\r\n\r\n", 400},
        InvalidRequest{"GET / HTTP/2.0\r\n\r\n", 400},
        InvalidRequest{"G@T / HTTP/1.1\r\n\r\n", 400},
        InvalidRequest{"GET /a\x01 HTTP/1.1\r\n\r\n", 400},
        InvalidRequest{"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400},
        InvalidRequest{"POST / HTTP/1.1\r\nContent-Length: 1x\r\n\r\n", 400},
        InvalidRequest{"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400},
        InvalidRequest{"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                       400},
        InvalidRequest{"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 400},
        InvalidRequest{"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", 400},
        InvalidRequest{"POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n", 413},
        InvalidRequest{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n", 413},
        InvalidRequest{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
        InvalidRequest{"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400},
        InvalidRequest{"GET / HTTP/1.1\r\nA: " + std::string(300, 'a'), 431},
        InvalidRequest{std::string(300, 'a'), 431}));

TEST(HttpParser, RejectsUnterminatedLineAboveHeadLimit) {
  // The parser must fail at the limit instead of buffering a line that never ends, also if the
  // peer sends one byte at a time.
  Parser parser = request_parser(Limits{256, 64});
  Result result = Result::need_more;
  size_t sent = 0;
  while (result == Result::need_more && sent < 10'000) {
    result = parser.feed("a");
    ++sent;
  }
  EXPECT_EQ(result, Result::failed);
  EXPECT_LE(sent, 300u);
}

}  // namespace
}  // namespace dunlinknot::http
