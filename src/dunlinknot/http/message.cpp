#include "dunlinknot/http/message.hpp"

#include <algorithm>
#include <charconv>

namespace dunlinknot::http {

namespace {

bool same_text(std::string_view a, std::string_view b) {
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return (x >= 'A' && x <= 'Z' ? x + 32 : x) == (y >= 'A' && y <= 'Z' ? y + 32 : y);
         });
}

bool has_token(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const size_t comma = list.find(',');
    std::string_view item = list.substr(0, comma);
    while (!item.empty() && (item.front() == ' ' || item.front() == '\t')) item.remove_prefix(1);
    while (!item.empty() && (item.back() == ' ' || item.back() == '\t')) item.remove_suffix(1);
    if (same_text(item, token)) return true;
    if (comma == std::string_view::npos) break;
    list.remove_prefix(comma + 1);
  }
  return false;
}

bool is_token(std::string_view s) {
  return !s.empty() && std::all_of(s.begin(), s.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

const char* reason(int status) {
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

bool Parser::take_line(std::string_view& line) {
  const size_t end = buffer_.find('\n', pos_);
  if (end == std::string::npos) return false;
  size_t len = end - pos_;
  if (len > 0 && buffer_[end - 1] == '\r') --len;
  line = std::string_view(buffer_).substr(pos_, len);
  head_bytes_ += end + 1 - pos_;
  pos_ = end + 1;
  return true;
}

bool Parser::parse_start_line(std::string_view line) {
  if (kind_ == Kind::request) {
    const size_t a = line.find(' ');
    const size_t b = line.rfind(' ');
    if (a == std::string_view::npos || b <= a) return false;
    const std::string_view method = line.substr(0, a);
    const std::string_view target = line.substr(a + 1, b - a - 1);
    const std::string_view version = line.substr(b + 1);
    if (!is_token(method) || target.empty() || target.front() != '/') return false;
    if (std::any_of(target.begin(), target.end(),
                    [](char c) { return static_cast<unsigned char>(c) <= ' ' || c == 0x7f; })) {
      return false;
    }
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
    message_.method = method;
    message_.target = target;
    message_.keep_alive = version == "HTTP/1.1";
    return true;
  }
  if (line.size() < 12 || (line.substr(0, 9) != "HTTP/1.1 " && line.substr(0, 9) != "HTTP/1.0 ")) {
    return false;
  }
  int status = 0;
  const auto r = std::from_chars(line.data() + 9, line.data() + 12, status);
  if (r.ec != std::errc{} || r.ptr != line.data() + 12 || status < 100) return false;
  message_.status = status;
  message_.keep_alive = line.substr(0, 8) == "HTTP/1.1";
  return true;
}

bool Parser::parse_header(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos) return false;
  const std::string_view name = line.substr(0, colon);
  std::string_view value = line.substr(colon + 1);
  while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) value.remove_prefix(1);
  while (!value.empty() && (value.back() == ' ' || value.back() == '\t')) value.remove_suffix(1);
  if (!is_token(name)) return false;
  if (same_text(name, "content-length")) {
    uint64_t n = 0;
    const auto r = std::from_chars(value.data(), value.data() + value.size(), n);
    if (value.empty() || r.ec != std::errc{} || r.ptr != value.data() + value.size()) return false;
    if (has_length_ && n != remaining_) return false;  // two lengths that disagree
    has_length_ = true;
    remaining_ = n;
  } else if (same_text(name, "transfer-encoding")) {
    if (!same_text(value, "chunked")) return false;
    chunked_ = true;
  } else if (same_text(name, "connection")) {
    if (has_token(value, "close")) message_.keep_alive = false;
    if (has_token(value, "keep-alive")) message_.keep_alive = true;
  } else if (same_text(name, "retry-after")) {
    message_.retry_after = value;
  }
  return true;
}

bool Parser::end_of_headers() {
  // A length and chunks together are how requests are smuggled past one another: refused.
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
  std::string_view line;
  for (;;) {
    switch (phase_) {
      case Phase::start_line:
        if (!take_line(line)) {
          return buffer_.size() - pos_ > limits_.head ? fail(431) : Result::need_more;
        }
        if (line.empty() && head_bytes_ <= 4) break;  // stray line end between messages
        if (!parse_start_line(line)) return fail(400);
        phase_ = Phase::headers;
        break;
      case Phase::headers:
      case Phase::trailers: {
        const bool found = take_line(line);
        if (head_bytes_ > limits_.head || (!found && buffer_.size() - pos_ > limits_.head)) {
          return fail(431);
        }
        if (!found) return Result::need_more;
        if (line.empty()) {
          if (phase_ == Phase::trailers) {
            phase_ = Phase::done;
          } else if (!end_of_headers()) {
            return fail(400);
          }
          if (phase_ == Phase::body && remaining_ > limits_.body) return fail(413);
        } else if (phase_ == Phase::headers && !parse_header(line)) {
          return fail(400);
        }
        break;
      }
      case Phase::body:
      case Phase::chunk_data: {
        const size_t n = std::min<uint64_t>(remaining_, buffer_.size() - pos_);
        message_.body.append(buffer_, pos_, n);
        pos_ += n;
        remaining_ -= n;
        if (remaining_ > 0) {
          buffer_.clear();
          pos_ = 0;
          return Result::need_more;
        }
        phase_ = phase_ == Phase::body ? Phase::done : Phase::chunk_end;
        break;
      }
      case Phase::chunk_size: {
        if (!take_line(line)) {
          return buffer_.size() - pos_ > 256 ? fail(400) : Result::need_more;
        }
        line = line.substr(0, line.find(';'));
        uint64_t n = 0;
        const auto r = std::from_chars(line.data(), line.data() + line.size(), n, 16);
        if (line.empty() || r.ec != std::errc{} || r.ptr != line.data() + line.size()) {
          return fail(400);
        }
        if (n > limits_.body || message_.body.size() + n > limits_.body) return fail(413);
        remaining_ = n;
        phase_ = n == 0 ? Phase::trailers : Phase::chunk_data;
        break;
      }
      case Phase::chunk_end:
        if (!take_line(line)) {
          return buffer_.size() - pos_ > 2 ? fail(400) : Result::need_more;
        }
        if (!line.empty()) return fail(400);
        phase_ = Phase::chunk_size;
        break;
      case Phase::done:
        return Result::complete;
    }
  }
}

Message Parser::take() {
  Message out = std::move(message_);
  message_ = Message{};
  buffer_.erase(0, pos_);
  if (buffer_.empty() && buffer_.capacity() > size_t{16} * 1024) buffer_.shrink_to_fit();
  pos_ = 0;
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
      .append(reason(response.status));
  out.append("\r\nContent-Type: application/msgpack\r\nContent-Length: ")
      .append(std::to_string(response.body.size()));
  if (response.retry_after_s > 0)
    out.append("\r\nRetry-After: ").append(std::to_string(response.retry_after_s));
  if (!keep_alive) out.append("\r\nConnection: close");
  out.append("\r\n\r\n").append(response.body);
  return out;
}

}  // namespace dunlinknot::http
