// Non-blocking TCP sockets on the event loop.
#include "dunlinknot/http/socket.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <stdexcept>

namespace dunlinknot::http {

namespace {

constexpr auto kOutOfSocketsDelay = Millis(50);  // lets connections end before the next accept
constexpr auto kAcceptErrorDelay = Millis(10);   // avoids a busy loop on other errors

sockaddr_in to_sockaddr(Endpoint endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = endpoint.ip;
  address.sin_port = htons(endpoint.port);
  return address;
}

// Turns off Nagle's algorithm, so that small messages are sent immediately.
void disable_nagle(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

std::optional<Endpoint> Endpoint::parse(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const std::string host(text.substr(0, colon));
  const std::string_view port = text.substr(colon + 1);
  Endpoint endpoint;
  in_addr ip{};
  if (::inet_pton(AF_INET, host.c_str(), &ip) != 1) return std::nullopt;
  endpoint.ip = ip.s_addr;
  const auto parsed = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
  if (parsed.ec != std::errc{} || parsed.ptr != port.data() + port.size() || endpoint.port == 0)
    return std::nullopt;
  return endpoint;
}

std::string Endpoint::text() const {
  char host[INET_ADDRSTRLEN] = {};
  const in_addr address{ip};
  ::inet_ntop(AF_INET, &address, host, sizeof host);
  return std::string(host) + ":" + std::to_string(port);
}

Socket::Socket(EventLoop& loop, int fd) : loop_(&loop), fd_(fd) {
  loop.watch_fd(fd);
}

Socket::Socket(Socket&& socket) noexcept
    : loop_(socket.loop_), fd_(std::exchange(socket.fd_, -1)) {}

Socket& Socket::operator=(Socket&& socket) noexcept {
  if (this != &socket) {
    close();
    loop_ = socket.loop_;
    fd_ = std::exchange(socket.fd_, -1);
  }
  return *this;
}

void Socket::close() {
  if (fd_ < 0) return;
  loop_->unwatch_fd(fd_);
  ::close(fd_);
  fd_ = -1;
}

Task<Socket> Socket::connect(EventLoop& loop, Endpoint to, Instant deadline) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) co_return Socket{};
  disable_nagle(fd);
  Socket socket(loop, fd);
  const sockaddr_in address = to_sockaddr(to);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
    co_return socket;
  if (errno != EINPROGRESS) co_return Socket{};
  if (!co_await loop.writable(fd, deadline)) co_return Socket{};
  int error = 0;
  socklen_t size = sizeof error;
  if (::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) co_return Socket{};
  co_return socket;
}

Task<ssize_t> Socket::read_some(char* buffer, size_t capacity, Instant deadline) {
  for (;;) {
    const ssize_t received = ::recv(fd_, buffer, capacity, 0);
    if (received >= 0) co_return received;
    if (errno == EINTR) continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK) co_return -1;
    if (!co_await loop_->readable(fd_, deadline)) co_return -1;
  }
}

Task<bool> Socket::write_all(std::string_view bytes, Instant deadline) {
  while (!bytes.empty()) {
    const ssize_t sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      bytes.remove_prefix(static_cast<size_t>(sent));
      continue;
    }
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK) co_return false;
    if (!co_await loop_->writable(fd_, deadline)) co_return false;
  }
  co_return true;
}

Listener::Listener(EventLoop& loop, Endpoint at) : loop_(loop) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) throw std::runtime_error("cannot create a listening socket");
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = to_sockaddr(at);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, SOMAXCONN) != 0) {  // all machines of a cluster may reconnect at once
    const std::string reason = std::strerror(errno);
    ::close(fd);
    throw std::runtime_error("cannot listen on " + at.text() + ": " + reason);
  }
  socket_ = Socket(loop, fd);
}

uint16_t Listener::port() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(socket_.fd(), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

Task<Socket> Listener::accept() {
  for (;;) {
    const int fd = ::accept4(socket_.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      disable_nagle(fd);
      co_return Socket(loop_, fd);
    }
    if (errno == EAGAIN || errno == EWOULDBLOCK) {
      (void)co_await loop_.readable(socket_.fd(), Instant::max());
    } else if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
      co_await loop_.sleep(kOutOfSocketsDelay);  // pending connections stay in the backlog
    } else if (errno != EINTR && errno != ECONNABORTED) {
      co_await loop_.sleep(kAcceptErrorDelay);
    }
  }
}

}  // namespace dunlinknot::http
