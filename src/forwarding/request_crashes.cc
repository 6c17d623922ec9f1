// Crash part of RequestHandler: recognizes the tries of a client's request.
#include "forwarding/request_handler.h"

namespace martenyard::forwarding {

namespace {

absl::string_view View(boost::beast::string_view text) { return {text.data(), text.size()}; }

}  // namespace

void RequestHandler::Identify() {
  if (fingerprint_ || !state_->fingerprints) {
    return;
  }
  const auto& request = exchange_->request();
  request_identity identity;
  identity.m_tenant = tenant_ == nullptr ? absl::string_view() : tenant_->m_name;
  identity.m_method = View(request.method_string());
  identity.m_host = View(request[boost::beast::http::field::host]);
  identity.m_target = View(request.target());
  identity.m_program = info_.program.value;
  identity.m_session = info_.session;
  if (info_.previous_turn) {
    identity.m_previous_turn = info_.previous_turn->value;
  }
  identity.m_prompt_part = info_.prompt.empty() ? 0 : info_.prompt.back().id;
  identity.m_body = *body_;
  fingerprint_ = state_->fingerprints->fingerprint(identity);
}

std::string RequestHandler::FingerprintText() const {
  return fingerprint_ ? fingerprint_->hex() : std::string();
}

}  // namespace martenyard::forwarding
