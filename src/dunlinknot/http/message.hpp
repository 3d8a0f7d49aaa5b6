// One HTTP/1.1 message and the parser for a stream of them. The parser is fed whatever arrives and
// never holds more than its limits; it is used for requests and for responses alike.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dunlinknot::http {

struct Limits {
  size_t head = size_t{8} * 1024;  // start line and headers together
  size_t body = size_t{64} * 1024;
};

struct Message {
  // Request: method and target. Response: status.
  std::string method;
  std::string target;
  int status = 0;
  bool keep_alive = true;
  std::string retry_after;
  std::string body;
};

using Request = Message;

struct Response {
  int status = 200;
  std::string body;
  int retry_after_s = 0;  // 0: no such header
  bool close = false;
};

class Parser {
 public:
  enum class Kind { request, response };
  enum class Result { need_more, complete, failed };

  Parser(Kind kind, Limits limits) : kind_(kind), limits_(limits) {}

  // Takes bytes; returns how the message stands. After `complete`, take() hands it over and the
  // parser goes on with the bytes left over.
  Result feed(std::string_view bytes);
  Result resume() { return feed({}); }
  Message take();
  // The status a server should answer after `failed`: 400, 413, 431 or 501.
  int error_status() const { return error_status_; }
  // True when no byte of a next message has arrived.
  bool idle() const { return phase_ == Phase::start_line && buffer_.empty(); }

 private:
  enum class Phase { start_line, headers, body, chunk_size, chunk_data, chunk_end, trailers, done };

  bool take_line(std::string_view& line);
  bool parse_start_line(std::string_view line);
  bool parse_header(std::string_view line);
  bool end_of_headers();
  Result fail(int status);

  Kind kind_;
  Limits limits_;
  Phase phase_ = Phase::start_line;
  std::string buffer_;
  size_t pos_ = 0;  // bytes of buffer_ used up
  size_t head_bytes_ = 0;
  bool has_length_ = false;
  bool chunked_ = false;
  uint64_t remaining_ = 0;  // of the body, or of the current chunk
  Message message_;
  int error_status_ = 400;
};

std::string render_request(std::string_view method, std::string_view target, std::string_view host,
                           std::string_view body);
std::string render_response(const Response& response, bool keep_alive);

}  // namespace dunlinknot::http
