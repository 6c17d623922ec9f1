// The HTTP API for operators: submit a signed bundle, roll it. What authorises is the signature.
#pragma once

#include <memory>

#include "bundle/roll_manager.h"
#include "http/server.h"

namespace martenyard::gateway {

class OperatorApi {
 public:
  explicit OperatorApi(bundle::RollManager& rolls) : rolls_(rolls) {}

  /// @return false when the path is not of this API.
  bool Handle(const http::Request& request, const std::shared_ptr<http::Responder>& responder);

 private:
  bundle::RollManager& rolls_;
};

}  // namespace martenyard::gateway
