// The parser of HTTP messages: split input, chunks, hostile input, limits.
#include <gtest/gtest.h>

#include "dunlinknot/http/message.hpp"

namespace dunlinknot::http {
namespace {

using Result = Parser::Result;

Parser requests(Limits limits = {}) {
  return Parser(Parser::Kind::request, limits);
}

TEST(HttpParser, ReadsAMessageHoweverItIsSplit) {
  const std::string text =
      "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
      "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n";
  for (size_t step = 1; step <= text.size(); ++step) {
    Parser parser = requests();
    std::vector<Message> got;
    for (size_t at = 0; at < text.size(); at += step) {
      Result result = parser.feed(std::string_view(text).substr(at, step));
      while (result == Result::complete) {
        got.push_back(parser.take());
        result = parser.resume();
      }
      ASSERT_NE(result, Result::failed);
    }
    ASSERT_EQ(got.size(), 2u) << "step " << step;
    EXPECT_EQ(got[0].body, "hello");
    EXPECT_EQ(got[0].target, "/v1/jobs");
    EXPECT_TRUE(got[0].keep_alive);
    EXPECT_EQ(got[1].method, "GET");
    EXPECT_FALSE(got[1].keep_alive);
    EXPECT_TRUE(parser.idle());
  }
}

TEST(HttpParser, ReadsChunkedBodies) {
  Parser parser(Parser::Kind::response, {});
  const Result result = parser.feed(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: 1\r\n\r\n");
  ASSERT_EQ(result, Result::complete);
  EXPECT_EQ(parser.take().body, "abcde");
}

struct Hostile {
  std::string text;
  int status;
};
class HttpHostile : public testing::TestWithParam<Hostile> {};

TEST_P(HttpHostile, IsRefused) {
  Parser parser = requests(Limits{256, 64});
  ASSERT_EQ(parser.feed(GetParam().text), Result::failed) << GetParam().text;
  EXPECT_EQ(parser.error_status(), GetParam().status);
}

INSTANTIATE_TEST_SUITE_P(
    All, HttpHostile,
    testing::Values(
        Hostile{"nonsense\r\n\r\n", 400}, Hostile{"GET x HTTP/1.1\r\n\r\n", 400},
        Hostile{"GET / HTTP/2.0\r\n\r\n", 400}, Hostile{"G@T / HTTP/1.1\r\n\r\n", 400},
        Hostile{"GET /a\x01 HTTP/1.1\r\n\r\n", 400},
        Hostile{"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400},
        Hostile{"POST / HTTP/1.1\r\nContent-Length: 1x\r\n\r\n", 400},
        Hostile{"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400},
        Hostile{"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
        Hostile{"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 400},
        Hostile{"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", 400},
        Hostile{"POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n", 413},
        Hostile{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n", 413},
        Hostile{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
        Hostile{"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400},
        Hostile{"GET / HTTP/1.1\r\nA: " + std::string(300, 'a'), 431},
        Hostile{std::string(300, 'a'), 431}));

TEST(HttpParser, HoldsNoMoreThanItsLimits) {
  // A peer that never ends a line or a chunk is cut off, however slowly it sends.
  Parser parser = requests(Limits{256, 64});
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
