#include "testsuite/standins/lib/instance_process.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <utility>

namespace ryefold::standins {
namespace {

/// Where the stand-ins of a run listen, on ports that the kernel chooses.
constexpr const char* kLoopback = "127.0.0.1";

std::string AddressJson(const std::string& host, uint16_t port) {
  return "\"" + host + ":" + std::to_string(port) + "\"";
}

void WriteSettings(const InstanceConfig& config, const std::string& path) {
  std::ofstream(path) << "{\n  \"name\": \"" << config.name
                      << "\",\n  \"failure_domain\": \""
                      << config.failure_domain << "\",\n  \"session_address\": "
                      << AddressJson(config.host, config.session_port)
                      << ",\n  \"ready_address\": "
                      << AddressJson(config.host, config.ready_port)
                      << ",\n  \"peer_address\": "
                      << AddressJson(config.host, config.peer_port)
                      << ",\n  \"store_address\": "
                      << AddressJson(kLoopback, config.store_port)
                      << ",\n  \"promotion_address\": "
                      << AddressJson(kLoopback, config.promotion_port)
                      << ",\n  \"stop_grace_s\": " << config.stop_grace.count()
                      << "\n}\n";
}

}  // namespace

InstanceProcess::InstanceProcess(InstanceConfig config)
    : config_(std::move(config)) {}

InstanceProcess::~InstanceProcess() { Kill(); }

void InstanceProcess::Start() {
  const std::string settings = config_.folder + "/" + config_.name + ".json";
  const std::string log = config_.folder + "/" + config_.name + ".log";
  WriteSettings(config_, settings);
  int executed[2];
  if (pipe2(executed, O_CLOEXEC) != 0) {
    perror("instance process: pipe2");
    return;
  }
  const pid_t pid = fork();
  if (pid == 0) {
    // The daemon reads its settings when it starts, so a request to read them
    // again is void until it handles the signal.
    signal(SIGHUP, SIG_IGN);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    execl(config_.program.c_str(), config_.program.c_str(), "--sessions",
          "--settings", settings.c_str(), nullptr);
    _exit(127);
  }
  close(executed[1]);
  // Returns once the daemon's program runs: a signal of the next fault would
  // otherwise end the copy of this process.
  char unused = 0;
  while (read(executed[0], &unused, 1) < 0 && errno == EINTR) {
  }
  close(executed[0]);
  pid_ = pid;
}

void InstanceProcess::SendSignal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

void InstanceProcess::Kill() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

bool InstanceProcess::IsRunning() {
  if (pid_ <= 0) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) == 0) return true;
  pid_ = 0;
  crashed_ = crashed_ || !WIFEXITED(status) || WEXITSTATUS(status) != 0;
  return false;
}

}  // namespace ryefold::standins
