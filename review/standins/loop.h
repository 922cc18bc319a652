// A small event loop over poll(2) with timers, TCP listeners and buffered
// connections, for the stand-ins of the review. Loopback only.
#pragma once

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// Milliseconds of the monotonic clock.
inline double NowMs() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return static_cast<double>(now.tv_sec) * 1e3 +
         static_cast<double>(now.tv_nsec) / 1e6;
}

class Loop;

/// A buffered TCP connection. Destroyed by the loop after it was closed.
class Conn : public std::enable_shared_from_this<Conn> {
 public:
  Conn(Loop* loop, int fd, bool connecting)
      : loop_(loop), fd_(fd), connecting_(connecting) {}
  ~Conn() {
    if (fd_ >= 0) close(fd_);
  }

  std::function<void(std::string* input)> on_data;
  /// Called once when the peer ends or resets the connection.
  std::function<void()> on_close;

  void Send(const std::string& bytes) {
    if (fd_ < 0) return;
    out_ += bytes;
    Flush();
  }
  void Close();
  /// Closes once what was sent is out.
  void CloseAfterFlush() {
    closing_ = true;
    Flush();
  }
  bool open() const { return fd_ >= 0; }

 private:
  friend class Loop;
  void Flush();
  void OnReadable();
  void Fail();

  Loop* loop_;
  int fd_;
  bool connecting_;
  bool closing_ = false;
  std::string in_;
  std::string out_;
};
using ConnRef = std::shared_ptr<Conn>;

class Loop {
 public:
  using Task = std::function<void()>;

  /// Returns the number of the timer.
  uint64_t After(double ms, Task task) {
    const uint64_t id = ++last_timer_;
    timers_[{NowMs() + ms, id}] = std::move(task);
    return id;
  }

  /// Listens on 127.0.0.1 and returns the port, 0 for one that is free.
  uint16_t Listen(uint16_t port, std::function<void(ConnRef)> on_accept,
                  int* listener = nullptr) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    socklen_t size = sizeof(address);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(fd, 512) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    listeners_[fd] = std::move(on_accept);
    if (listener != nullptr) *listener = fd;
    return ntohs(address.sin_port);
  }

  ConnRef Connect(uint16_t port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const int result =
        connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    auto conn = std::make_shared<Conn>(this, fd, result != 0);
    if (result != 0 && errno != EINPROGRESS) {
      After(0, [conn] { conn->Fail(); });
    }
    conns_[fd] = conn;
    return conn;
  }

  /// Runs until `Stop` or for this long.
  void Run(double ms) {
    const double end = NowMs() + ms;
    stopped_ = false;
    while (!stopped_ && NowMs() < end) Turn(end);
  }
  void Stop() { stopped_ = true; }

 private:
  friend class Conn;

  void Turn(double end) {
    std::vector<pollfd> polled;
    for (const auto& [fd, accept] : listeners_) polled.push_back({fd, POLLIN, 0});
    for (const auto& [fd, conn] : conns_) {
      short events = conn->connecting_ ? POLLOUT : POLLIN;
      if (!conn->out_.empty()) events |= POLLOUT;
      polled.push_back({fd, events, 0});
    }
    double next = end;
    if (!timers_.empty()) next = std::min(next, timers_.begin()->first.first);
    const double wait_ms = std::max(0.0, next - NowMs());
    timespec wait{};
    wait.tv_sec = static_cast<time_t>(wait_ms / 1e3);
    wait.tv_nsec = static_cast<long>((wait_ms - wait.tv_sec * 1e3) * 1e6);
    ppoll(polled.data(), polled.size(), &wait, nullptr);
    for (const pollfd& each : polled) {
      if (each.revents == 0) continue;
      const auto listener = listeners_.find(each.fd);
      if (listener != listeners_.end()) {
        Accept(each.fd, listener->second);
        continue;
      }
      const auto found = conns_.find(each.fd);
      if (found == conns_.end()) continue;
      const ConnRef conn = found->second;
      if (conn->connecting_) {
        int error = 0;
        socklen_t size = sizeof(error);
        getsockopt(each.fd, SOL_SOCKET, SO_ERROR, &error, &size);
        conn->connecting_ = false;
        if (error != 0) {
          conn->Fail();
          continue;
        }
      }
      if ((each.revents & POLLOUT) != 0) conn->Flush();
      if ((each.revents & (POLLIN | POLLERR | POLLHUP)) != 0 && conn->open()) {
        conn->OnReadable();
      }
    }
    const double now = NowMs();
    while (!timers_.empty() && timers_.begin()->first.first <= now) {
      const Task task = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      task();
    }
  }

  void Accept(int listener, const std::function<void(ConnRef)>& on_accept) {
    while (true) {
      const int fd = accept4(listener, nullptr, nullptr,
                             SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) return;
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      auto conn = std::make_shared<Conn>(this, fd, false);
      conns_[fd] = conn;
      on_accept(conn);
    }
  }

  std::map<int, std::function<void(ConnRef)>> listeners_;
  std::map<int, ConnRef> conns_;
  std::map<std::pair<double, uint64_t>, Task> timers_;
  uint64_t last_timer_ = 0;
  bool stopped_ = false;
};

inline void Conn::Close() {
  if (fd_ < 0) return;
  const ConnRef self = shared_from_this();
  loop_->conns_.erase(fd_);
  close(fd_);
  fd_ = -1;
}

inline void Conn::Fail() {
  if (fd_ < 0) return;
  const ConnRef self = shared_from_this();
  Close();
  if (on_close) on_close();
}

inline void Conn::Flush() {
  const ConnRef self = shared_from_this();
  while (!connecting_ && fd_ >= 0 && !out_.empty()) {
    const ssize_t sent = send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno == EINTR) continue;
      if (errno != EAGAIN) out_.clear();  // the read reports the error
      break;
    }
    out_.erase(0, static_cast<size_t>(sent));
  }
  if (closing_ && out_.empty()) Close();
}

inline void Conn::OnReadable() {
  const ConnRef self = shared_from_this();
  char buffer[65536];
  const ssize_t got = recv(fd_, buffer, sizeof(buffer), 0);
  if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (got <= 0) {
    Fail();
    return;
  }
  in_.append(buffer, static_cast<size_t>(got));
  if (on_data) on_data(&in_);
}

/// Removes the first line, without its CR LF, from the front of `input`.
inline bool TakeLine(std::string* input, std::string* line) {
  const size_t end = input->find("\r\n");
  if (end == std::string::npos) return false;
  *line = input->substr(0, end);
  input->erase(0, end + 2);
  return true;
}

/// Removes the text up to the first blank from the front of `rest`.
inline std::string TakeField(std::string* rest) {
  const size_t blank = rest->find(' ');
  std::string field = rest->substr(0, blank);
  *rest = blank == std::string::npos ? "" : rest->substr(blank + 1);
  return field;
}

}  // namespace review
