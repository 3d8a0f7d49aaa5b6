// One HTTP/1.1 message and the parser for a stream of them. The parser is fed whatever arrives and
// never holds more than its limits; it is used for requests and for responses alike.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dunlinknot::http {

// What the parser accepts, in bytes.
struct Limits {
  size_t head = size_t{8} * 1024;  // start line and headers together
  size_t body = size_t{64} * 1024;
};

// A request or a response as received. Headers without a meaning here are dropped.
struct Message {
  // Request: method and target. Response: status.
  std::string method;
  std::string target;
  int status = 0;
  bool keep_alive = true;
  std::string retry_after;  // the header's value; empty without one
  std::string body;
};

using Request = Message;

// A response to be sent.
struct Response {
  int status = 200;
  std::string body;
  int retry_after_s = 0;  // 0: no such header
  bool close = false;     // closes the connection after it
};

// Parses the messages of one connection, one after the other. After Result::failed the stream has
// lost its framing and the connection is to be closed.
class Parser {
 public:
  enum class Kind { request, response };
  enum class Result { need_more, complete, failed };

  Parser(Kind kind, Limits limits) : kind_(kind), limits_(limits) {}

  // Takes bytes that arrived; `complete` when a whole message is there, to be had from take().
  // Bytes of the next message are kept: resume() parses them.
  Result feed(std::string_view bytes);
  Result resume() { return feed({}); }
  // The complete message; the parser is ready for the next one.
  Message take();
  // The status a server should answer after `failed`: 400, 413, 431 or 501.
  int error_status() const { return error_status_; }
  // True when no byte of a next message has arrived.
  bool idle() const { return phase_ == Phase::start_line && buffer_.empty(); }

 private:
  enum class Phase { start_line, headers, body, chunk_size, chunk_data, chunk_end, trailers, done };

  // A step through one phase; empty when the next phase can be parsed.
  using Step = std::optional<Result>;
  Step step();
  Step read_start_line();
  Step read_header_line();
  Step read_body();
  Step read_chunk_size();
  Step read_chunk_end();

  std::optional<std::string_view> take_line();
  bool parse_start_line(std::string_view line);
  bool parse_request_line(std::string_view line);
  bool parse_status_line(std::string_view line);
  bool parse_header(std::string_view line);
  bool parse_content_length(std::string_view value);
  bool end_of_headers();
  size_t unread() const { return buffer_.size() - pos_; }
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

// The bytes of a message. A body is MessagePack.
std::string render_request(std::string_view method, std::string_view target, std::string_view host,
                           std::string_view body);
std::string render_response(const Response& response, bool keep_alive);

}  // namespace dunlinknot::http
