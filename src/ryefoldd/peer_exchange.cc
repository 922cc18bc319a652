#include "ryefoldd/peer_exchange.h"

#include <utility>

namespace ryefold::ryefoldd {

PeerExchange::PeerExchange(task::Loop* loop)
    : peers_(loop), server_(loop->base(), [this](const wire::PeerCall& call) {
        OnCall(call);
      }) {}

std::string PeerExchange::Listen(const std::string& address) {
  return server_.Listen(address);
}

void PeerExchange::Serve(std::string_view path, Handler handler) {
  handlers_[std::string(path)] = std::move(handler);
}

wire::PeerClient* PeerExchange::To(const std::string& instance) {
  const auto found = addresses_.find(instance);
  return found == addresses_.end() ? nullptr : peers_.At(found->second);
}

void PeerExchange::OnCall(const wire::PeerCall& call) {
  const auto handler = handlers_.find(call.path());
  if (handler == handlers_.end()) {
    call.Refuse();
  } else {
    handler->second(call);
  }
}

}  // namespace ryefold::ryefoldd
