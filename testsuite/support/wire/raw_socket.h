#pragma once

// Plain blocking sockets for tests that have to say on the wire what no
// well-behaved library would.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

namespace ryefold::testing {

/// A connected socket; closes when it goes.
class RawSocket {
 public:
  explicit RawSocket(int fd) : fd_(fd) {}
  RawSocket(RawSocket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;
  ~RawSocket() { Close(); }

  static RawSocket Connect(uint16_t port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address))) {
      close(fd);
      return RawSocket(-1);
    }
    return RawSocket(fd);
  }

  /// False once the other side has closed.
  bool Send(const std::string& text) const {
    return send(fd_, text.data(), text.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(text.size());
  }

  /// Reads until the other side closes.
  std::string ReadAll() const {
    std::string all;
    while (true) {
      const std::string some = ReadSome();
      if (some.empty()) return all;
      all += some;
    }
  }

  /// Whether something, or the end, comes within `limit`.
  bool WaitReadable(std::chrono::milliseconds limit) const {
    pollfd wanted{fd_, POLLIN, 0};
    return poll(&wanted, 1, static_cast<int>(limit.count())) > 0;
  }

  /// Whatever comes next; empty at the end.
  std::string ReadSome() const {
    std::string some(65536, '\0');
    const ssize_t count = recv(fd_, some.data(), some.size(), 0);
    some.resize(count > 0 ? static_cast<size_t>(count) : 0);
    return some;
  }

  /// Waits for the end of a request's or answer's header, then returns what
  /// has come.
  std::string ReadHead() const {
    std::string all;
    while (all.find("\r\n\r\n") == std::string::npos) {
      const std::string some = ReadSome();
      if (some.empty()) return all;
      all += some;
    }
    return all;
  }

  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }

 private:
  int fd_;
};

/// Listens on a free port of the loopback.
class RawListener {
 public:
  RawListener() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0) return;
    listen(fd_, 8);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
  }
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;
  ~RawListener() { close(fd_); }

  uint16_t port() const { return port_; }
  RawSocket Accept() const { return RawSocket(accept(fd_, nullptr, nullptr)); }

 private:
  int fd_;
  uint16_t port_ = 0;
};

}  // namespace ryefold::testing
