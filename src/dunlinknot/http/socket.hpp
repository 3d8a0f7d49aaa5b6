// Non-blocking TCP sockets with a coroutine interface. Connecting, reading and writing have a
// deadline.
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
  // Parses text of the form "10.0.0.1:8080"; empty if the text has another form.
  static std::optional<Endpoint> parse(std::string_view text);
  std::string text() const;
  auto operator<=>(const Endpoint&) const = default;
};

// Owns one TCP connection. Its coroutines run on the event loop; the socket must outlive them.
class Socket {
 public:
  Socket() = default;
  // Takes ownership of a non-blocking file descriptor.
  Socket(EventLoop& loop, int fd);
  Socket(Socket&& socket) noexcept;
  Socket& operator=(Socket&& socket) noexcept;
  ~Socket() { close(); }
  void close();
  bool open() const { return fd_ >= 0; }
  int fd() const { return fd_; }

  // Connects to an endpoint. The returned socket is not open if the connection failed or the
  // deadline passed.
  static Task<Socket> connect(EventLoop& loop, Endpoint to, Instant deadline);
  // Returns the number of bytes read, 0 at the end of the stream, or -1 on an error or after the
  // deadline.
  Task<ssize_t> read_some(char* buffer, size_t capacity, Instant deadline);
  // Returns false on an error or after the deadline; some of the bytes may have been sent then.
  // The caller must keep `bytes` valid until the call completes.
  Task<bool> write_all(std::string_view bytes, Instant deadline);

 private:
  EventLoop* loop_ = nullptr;
  int fd_ = -1;
};

// Accepts connections on one address.
class Listener {
 public:
  // Throws std::runtime_error if the address cannot be bound.
  Listener(EventLoop& loop, Endpoint at);
  // Returns the next connection. Retries on errors, also while the process is out of sockets.
  Task<Socket> accept();
  uint16_t port() const;

 private:
  EventLoop& loop_;
  Socket socket_;
};

}  // namespace dunlinknot::http
