// Non-blocking TCP sockets as coroutines. Every wait has a deadline.
#pragma once
#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>

#include "dunlinknot/runtime/event_loop.hpp"

namespace dunlinknot::http {

// An IPv4 address and a port.
struct Endpoint {
  in_addr_t ip = 0;  // network byte order
  uint16_t port = 0;
  // Reads "10.0.0.1:8080"; empty when the text is anything else.
  static std::optional<Endpoint> parse(std::string_view text);
  std::string text() const;
  auto operator<=>(const Endpoint&) const = default;
};

// Owns one connection. Its coroutines run on the loop; the socket outlives them.
class Socket {
 public:
  Socket() = default;
  // Takes over a non-blocking file descriptor.
  Socket(EventLoop& loop, int fd);
  Socket(Socket&& socket) noexcept;
  Socket& operator=(Socket&& socket) noexcept;
  ~Socket() { close(); }
  void close();
  bool open() const { return fd_ >= 0; }
  int fd() const { return fd_; }

  // A socket that is not open when the connection failed or the deadline passed.
  static Task<Socket> connect(EventLoop& loop, Endpoint to, Instant deadline);
  // Bytes read, 0 at the end of the stream, -1 on an error or when the deadline has passed.
  Task<ssize_t> read_some(char* into, size_t room, Instant deadline);
  // False on an error or when the deadline has passed; a part may have been sent then. The bytes
  // belong to the caller until this resumes.
  Task<bool> write_all(std::string_view bytes, Instant deadline);

 private:
  EventLoop* loop_ = nullptr;
  int fd_ = -1;
};

// Accepts connections on one address.
class Listener {
 public:
  // Throws std::runtime_error when the address cannot be bound.
  Listener(EventLoop& loop, Endpoint at);
  // The next connection; waits while the process is out of sockets. Never fails.
  Task<Socket> accept();
  uint16_t port() const;

 private:
  EventLoop& loop_;
  Socket socket_;
};

}  // namespace dunlinknot::http
