// Non-blocking TCP sockets as coroutines. Every wait has a deadline.
#pragma once
#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>

#include "dunlinknot/runtime/event_loop.hpp"

namespace dunlinknot::http {

struct Endpoint {
  in_addr_t ip = 0;  // network byte order
  uint16_t port = 0;
  static std::optional<Endpoint> parse(std::string_view text);  // "10.0.0.1:8080"
  std::string text() const;
  auto operator<=>(const Endpoint&) const = default;
};

class Socket {
 public:
  Socket() = default;
  Socket(EventLoop& loop, int fd);
  Socket(Socket&& socket) noexcept;
  Socket& operator=(Socket&& socket) noexcept;
  ~Socket() { close(); }
  void close();
  bool open() const { return fd_ >= 0; }
  int fd() const { return fd_; }

  static Task<Socket> connect(EventLoop& loop, Endpoint to, Instant deadline);
  // Bytes read, 0 at the end of the stream, -1 on an error or when the deadline has passed.
  Task<ssize_t> read_some(char* into, size_t room, Instant deadline);
  Task<bool> write_all(std::string_view bytes, Instant deadline);

 private:
  EventLoop* loop_ = nullptr;
  int fd_ = -1;
};

class Listener {
 public:
  Listener(EventLoop& loop, Endpoint at);  // throws std::runtime_error
  Task<Socket> accept();
  uint16_t port() const;

 private:
  EventLoop& loop_;
  Socket socket_;
};

}  // namespace dunlinknot::http
