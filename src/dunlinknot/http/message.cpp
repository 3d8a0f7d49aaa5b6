// HTTP/1.1 parser, a state machine with one step per phase, and serialization of messages.
#include "dunlinknot/http/message.hpp"

#include <algorithm>
#include <charconv>

namespace dunlinknot::http {

namespace {

constexpr std::string_view kHttp11 = "HTTP/1.1";
constexpr std::string_view kHttp10 = "HTTP/1.0";
static_assert(kHttp11.size() == kHttp10.size());

// Status codes for Parser::error_status().
constexpr int kBadRequest = 400;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadTooLarge = 431;

constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;

char to_lower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + ('a' - 'A')) : letter;
}

// Compares without regard to case, as header names and tokens require.
bool equal_ignoring_case(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](char x, char y) { return to_lower(x) == to_lower(y); });
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

// Parses the whole text as an unsigned number; empty if it is not one.
std::optional<uint64_t> parse_number(std::string_view text, int base) {
  uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number, base);
  if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end) return std::nullopt;
  return number;
}

bool has_token(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const size_t comma = list.find(',');
    if (equal_ignoring_case(trimmed(list.substr(0, comma)), token)) return true;
    if (comma == std::string_view::npos) break;
    list.remove_prefix(comma + 1);
  }
  return false;
}

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

const char* reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

}  // namespace

Parser::Result Parser::fail(int status) {
  error_status_ = status;
  return Result::failed;
}

// Returns the next line without its line end; empty until the line end has been received.
std::optional<std::string_view> Parser::take_line() {
  const size_t end = buffer_.find('\n', parsed_bytes_);
  if (end == std::string::npos) return std::nullopt;
  size_t length = end - parsed_bytes_;
  if (length > 0 && buffer_[end - 1] == '\r') --length;
  const std::string_view line = std::string_view(buffer_).substr(parsed_bytes_, length);
  head_bytes_ += end + 1 - parsed_bytes_;
  parsed_bytes_ = end + 1;
  return line;
}

bool Parser::parse_start_line(std::string_view line) {
  return kind_ == Kind::request ? parse_request_line(line) : parse_status_line(line);
}

bool Parser::parse_request_line(std::string_view line) {
  const size_t first_space = line.find(' ');
  const size_t last_space = line.rfind(' ');
  if (first_space == std::string_view::npos || last_space <= first_space) return false;
  const std::string_view method = line.substr(0, first_space);
  const std::string_view target = line.substr(first_space + 1, last_space - first_space - 1);
  const std::string_view version = line.substr(last_space + 1);
  if (!is_token(method) || target.empty() || target.front() != '/') return false;
  if (std::any_of(target.begin(), target.end(),
                  [](char c) { return static_cast<unsigned char>(c) <= ' ' || c == 0x7f; })) {
    return false;
  }
  if (version != kHttp11 && version != kHttp10) return false;
  message_.method = method;
  message_.target = target;
  message_.keep_alive = version == kHttp11;
  return true;
}

bool Parser::parse_status_line(std::string_view line) {
  constexpr size_t kStatusBegin = kHttp11.size() + 1;
  constexpr size_t kStatusEnd = kStatusBegin + 3;
  constexpr int kMinStatus = 100;
  if (line.size() < kStatusEnd || line[kHttp11.size()] != ' ') return false;
  const std::string_view version = line.substr(0, kHttp11.size());
  if (version != kHttp11 && version != kHttp10) return false;
  int status = 0;
  const auto parsed = std::from_chars(line.data() + kStatusBegin, line.data() + kStatusEnd, status);
  if (parsed.ec != std::errc{} || parsed.ptr != line.data() + kStatusEnd || status < kMinStatus)
    return false;
  message_.status = status;
  message_.keep_alive = version == kHttp11;
  return true;
}

bool Parser::parse_header(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos) return false;
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = trimmed(line.substr(colon + 1));
  if (!is_token(name)) return false;
  if (equal_ignoring_case(name, "content-length")) return parse_content_length(value);
  if (equal_ignoring_case(name, "transfer-encoding")) {
    if (!equal_ignoring_case(value, "chunked")) return false;
    chunked_ = true;
  } else if (equal_ignoring_case(name, "connection")) {
    if (has_token(value, "close")) message_.keep_alive = false;
    if (has_token(value, "keep-alive")) message_.keep_alive = true;
  } else if (equal_ignoring_case(name, "retry-after")) {
    message_.retry_after = value;
  }
  return true;
}

bool Parser::parse_content_length(std::string_view value) {
  const auto length = parse_number(value, kDecimal);
  if (!length) return false;
  if (has_length_ && *length != remaining_) return false;  // two Content-Length headers that differ
  has_length_ = true;
  remaining_ = *length;
  return true;
}

bool Parser::end_of_headers() {
  // Content-Length with a chunked body allows request smuggling, so the message is rejected.
  if (chunked_ && has_length_) return false;
  if (chunked_) {
    phase_ = Phase::chunk_size;
  } else {
    phase_ = remaining_ > 0 ? Phase::body : Phase::done;
  }
  return true;
}

Parser::Result Parser::feed(std::string_view bytes) {
  buffer_.append(bytes);
  for (;;) {
    if (const Step result = step()) return *result;
  }
}

Parser::Step Parser::step() {
  switch (phase_) {
    case Phase::start_line:
      return read_start_line();
    case Phase::headers:
    case Phase::trailers:
      return read_header_line();
    case Phase::body:
    case Phase::chunk_data:
      return read_body();
    case Phase::chunk_size:
      return read_chunk_size();
    case Phase::chunk_end:
      return read_chunk_end();
    case Phase::done:
      break;
  }
  return Result::complete;
}

Parser::Step Parser::read_start_line() {
  // Empty lines before a start line are ignored up to this size.
  constexpr size_t kMaxLeadingLineEndBytes = 4;
  const auto line = take_line();
  if (!line) return unread() > limits_.head ? fail(kHeadTooLarge) : Result::need_more;
  if (line->empty() && head_bytes_ <= kMaxLeadingLineEndBytes) return std::nullopt;
  if (!parse_start_line(*line)) return fail(kBadRequest);
  phase_ = Phase::headers;
  return std::nullopt;
}

Parser::Step Parser::read_header_line() {
  const auto line = take_line();
  if (head_bytes_ > limits_.head || (!line && unread() > limits_.head)) return fail(kHeadTooLarge);
  if (!line) return Result::need_more;
  const bool trailer = phase_ == Phase::trailers;
  if (!line->empty()) {
    if (!trailer && !parse_header(*line)) return fail(kBadRequest);
    return std::nullopt;
  }
  if (trailer) {
    phase_ = Phase::done;
  } else if (!end_of_headers()) {
    return fail(kBadRequest);
  }
  if (phase_ == Phase::body && remaining_ > limits_.body) return fail(kBodyTooLarge);
  return std::nullopt;
}

Parser::Step Parser::read_body() {
  const size_t count = std::min<uint64_t>(remaining_, unread());
  message_.body.append(buffer_, parsed_bytes_, count);
  parsed_bytes_ += count;
  remaining_ -= count;
  if (remaining_ > 0) {
    buffer_.clear();
    parsed_bytes_ = 0;
    return Result::need_more;
  }
  phase_ = phase_ == Phase::body ? Phase::done : Phase::chunk_end;
  return std::nullopt;
}

Parser::Step Parser::read_chunk_size() {
  // Limit for the chunk size with its extensions; no peer of this program sends extensions.
  constexpr size_t kMaxChunkHeaderBytes = 256;
  const auto line = take_line();
  if (!line) return unread() > kMaxChunkHeaderBytes ? fail(kBadRequest) : Result::need_more;
  const auto size = parse_number(line->substr(0, line->find(';')), kHexadecimal);
  if (!size) return fail(kBadRequest);
  if (*size > limits_.body || message_.body.size() + *size > limits_.body)
    return fail(kBodyTooLarge);
  remaining_ = *size;
  phase_ = *size == 0 ? Phase::trailers : Phase::chunk_data;
  return std::nullopt;
}

Parser::Step Parser::read_chunk_end() {
  constexpr size_t kLineEndBytes = 2;  // carriage return and line feed
  const auto line = take_line();
  if (!line) return unread() > kLineEndBytes ? fail(kBadRequest) : Result::need_more;
  if (!line->empty()) return fail(kBadRequest);
  phase_ = Phase::chunk_size;
  return std::nullopt;
}

Message Parser::take() {
  Message out = std::move(message_);
  message_ = Message{};
  buffer_.erase(0, parsed_bytes_);
  if (buffer_.empty() && buffer_.capacity() > size_t{16} * 1024) buffer_.shrink_to_fit();
  parsed_bytes_ = 0;
  head_bytes_ = 0;
  has_length_ = chunked_ = false;
  remaining_ = 0;
  phase_ = Phase::start_line;
  return out;
}

std::string render_request(std::string_view method, std::string_view target, std::string_view host,
                           std::string_view body) {
  std::string out;
  out.reserve(128 + target.size() + body.size());
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host);
  if (!body.empty() || method == "POST") {
    out.append("\r\nContent-Type: application/msgpack\r\nContent-Length: ")
        .append(std::to_string(body.size()));
  }
  out.append("\r\n\r\n").append(body);
  return out;
}

std::string render_response(const Response& response, bool keep_alive) {
  std::string out;
  out.reserve(160 + response.body.size());
  out.append("HTTP/1.1 ")
      .append(std::to_string(response.status))
      .append(" ")
      .append(reason_phrase(response.status));
  out.append("\r\nContent-Type: application/msgpack\r\nContent-Length: ")
      .append(std::to_string(response.body.size()));
  if (response.retry_after_s > 0)
    out.append("\r\nRetry-After: ").append(std::to_string(response.retry_after_s));
  if (!keep_alive) out.append("\r\nConnection: close");
  out.append("\r\n\r\n").append(response.body);
  return out;
}

}  // namespace dunlinknot::http
