// HTTP/1.1 messages and an incremental parser for requests and responses. The parser accepts input
// split at any position and never buffers more than its limits.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dunlinknot::http {

// Maximum sizes that the parser accepts, in bytes.
struct Limits {
  size_t head = size_t{8} * 1024;  // start line and headers together
  size_t body = size_t{64} * 1024;
};

// A received request or response. Headers that this program does not use are dropped.
struct Message {
  // Requests set `method` and `target`, responses set `status`.
  std::string method;
  std::string target;
  int status = 0;
  bool keep_alive = true;
  std::string retry_after;  // value of the Retry-After header; empty if absent
  std::string body;
};

using Request = Message;

// A response to send.
struct Response {
  int status = 200;
  std::string body;
  int retry_after_s = 0;  // in seconds; 0 omits the Retry-After header
  bool close = false;     // close the connection after this response
};

// Parses consecutive messages of one connection. After Result::failed the message boundaries are
// lost and the caller must close the connection.
class Parser {
 public:
  enum class Kind { request, response };
  enum class Result { need_more, complete, failed };

  Parser(Kind kind, Limits limits) : kind_(kind), limits_(limits) {}

  // Parses received bytes. After `complete` take() returns the message. Bytes of the next message
  // stay buffered and are parsed by resume().
  Result feed(std::string_view bytes);
  Result resume() { return feed({}); }
  // Returns the complete message and prepares the parser for the next one.
  Message take();
  // The status code with which a server should answer after `failed`: 400, 413, 431 or 501.
  int error_status() const { return error_status_; }
  // True if no byte of the next message has been received.
  bool idle() const { return phase_ == Phase::start_line && buffer_.empty(); }

 private:
  enum class Phase { start_line, headers, body, chunk_size, chunk_data, chunk_end, trailers, done };

  // Result of parsing one phase; empty if parsing can continue with the next phase.
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
  size_t unread() const { return buffer_.size() - parsed_bytes_; }
  Result fail(int status);

  Kind kind_;
  Limits limits_;
  Phase phase_ = Phase::start_line;
  std::string buffer_;
  size_t parsed_bytes_ = 0;  // bytes of buffer_ that are already parsed
  size_t head_bytes_ = 0;
  bool has_length_ = false;
  bool chunked_ = false;
  uint64_t remaining_ = 0;  // bytes of the body or of the current chunk not yet received
  Message message_;
  int error_status_ = 400;
};

// Serialize a message. The body must be MessagePack.
std::string render_request(std::string_view method, std::string_view target, std::string_view host,
                           std::string_view body);
std::string render_response(const Response& response, bool keep_alive);

}  // namespace dunlinknot::http
