// The project's daemon as a separate process, started with the command of
// deploy/system.toml and the settings of deploy/gateway.json.template.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <fstream>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "loop.h"

namespace review {

/// Returns a port of 127.0.0.1 that is free. It lies below the range from which
/// the kernel takes the ports of outgoing connections, which could occupy it
/// before the daemon listens there.
inline uint16_t FreePort() {
  constexpr uint32_t kFirst = 20000;
  constexpr uint32_t kCount = 12000;
  static uint32_t next = std::random_device()() % kCount;
  while (true) {
    const auto port = static_cast<uint16_t>(kFirst + next++ % kCount);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool free =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    if (free) return port;
  }
}

class Gateway {
 public:
  Gateway(Loop* loop, std::string name, std::string zone, std::string folder,
          uint16_t store_port, uint16_t promotion_port)
      : loop_(loop),
        name_(std::move(name)),
        zone_(std::move(zone)),
        folder_(std::move(folder)),
        store_port_(store_port),
        promotion_port_(promotion_port),
        session_port_(FreePort()),
        ready_port_(FreePort()),
        peer_port_(FreePort()),
        metrics_port_(FreePort()) {}
  ~Gateway() { Kill(); }

  /// Starts the process; it runs in the present folder, the repository's root.
  void Start(bool first_start) {
    const std::string path = folder_ + "/" + name_ + ".json";
    const auto address = [](uint16_t port) {
      return "\"127.0.0.1:" + std::to_string(port) + "\"";
    };
    std::ofstream(path)
        << "{\n  \"name\": \"" << name_ << "\",\n  \"failure_domain\": \""
        << zone_ << "\",\n  \"session_address\": " << address(session_port_)
        << ",\n  \"ready_address\": " << address(ready_port_)
        << ",\n  \"peer_address\": " << address(peer_port_)
        << ",\n  \"metrics_address\": " << address(metrics_port_)
        << ",\n  \"store_address\": " << address(store_port_)
        << ",\n  \"promotion_address\": " << address(promotion_port_)
        << ",\n  \"first_start\": " << (first_start ? "true" : "false")
        << ",\n  \"stop_grace_s\": 6,\n  \"restart_allowance\": true,\n"
        << "  \"queue_shares\": \"work\",\n"
        << "  \"keeper_choice\": \"expected_wait\",\n"
        << "  \"limit_order\": \"priority\",\n"
        << "  \"database_concurrency\": \"adaptive\"\n}\n";
    const std::string log = folder_ + "/" + name_ + ".log";
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    setenv("RYEFOLD_CONFIG", path.c_str(), 1);
    execl("target/ryefoldd", "target/ryefoldd", "--sessions", "--settings-env",
          "RYEFOLD_CONFIG", nullptr);
    _exit(127);
  }

  void Signal(int signal) const {
    if (pid_ > 0) kill(pid_, signal);
  }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  /// Whether the process runs; `status` gets that of its end.
  bool IsRunning(int* status) {
    if (pid_ <= 0) return false;
    if (waitpid(pid_, status, WNOHANG) == 0) return true;
    pid_ = 0;
    return false;
  }

  /// Asks once whether the process is ready.
  void AskReady(std::function<void(bool)> done) {
    const ConnRef conn = loop_->Connect(ready_port_);
    auto told = std::make_shared<bool>(false);
    const auto tell = [done, told](bool ready) {
      if (std::exchange(*told, true)) return;
      done(ready);
    };
    std::weak_ptr<Conn> weak = conn;
    conn->on_data = [tell, weak](std::string* input) {
      if (input->find("\r\n\r\n") == std::string::npos) return;
      tell(input->rfind("HTTP/1.1 200", 0) == 0);
      if (const ConnRef held = weak.lock()) held->Close();
    };
    conn->on_close = [tell] { tell(false); };
    conn->Send("GET /ready HTTP/1.1\r\nHost: node\r\n\r\n");
    loop_->After(900, [tell, weak] {
      tell(false);
      if (const ConnRef held = weak.lock()) held->Close();
    });
  }

  const std::string& name() const { return name_; }
  uint16_t session_port() const { return session_port_; }

 private:
  Loop* loop_;
  const std::string name_;
  const std::string zone_;
  const std::string folder_;
  const uint16_t store_port_;
  const uint16_t promotion_port_;
  const uint16_t session_port_;
  const uint16_t ready_port_;
  const uint16_t peer_port_;
  const uint16_t metrics_port_;
  pid_t pid_ = 0;
};

}  // namespace review
