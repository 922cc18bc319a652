// Sends SIGHUP to a daemon that has just been started. Exits with 1 if one ended
// by that signal, which only says that the settings file has changed.

#include <iostream>

#include "../kit-2/fleet.h"

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  constexpr int kTries = 5;
  fleet::Loop loop;
  fleet::Store store(&loop);
  const uint16_t port = store.Serve("");
  loop.Start();
  int ended = 0;
  for (const int64_t after_ms : {2, 5, 10, 20}) {
    int here = 0;
    for (int i = 0; i < kTries; ++i) {
      fleet::Gateway gateway("front-1", "hall-a", argv[1], port, port);
      gateway.Start();
      fleet::SleepMs(after_ms);
      gateway.Signal(SIGHUP);
      fleet::SleepMs(150);
      const int status = gateway.Ended();
      if (status != -1 && WIFSIGNALED(status) && WTERMSIG(status) == SIGHUP) {
        ++here;
      }
    }
    std::cout << after_ms << " ms after the start: ended by SIGHUP " << here
              << " of " << kTries << std::endl;
    ended += here;
  }
  loop.Stop();
  return ended > 0 ? 1 : 0;
}
