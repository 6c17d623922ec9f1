// The HTTP API for operators: submit a signed bundle, roll it out. Requests are authorized by their
// signatures.
#pragma once

#include <memory>

#include "bundle/roll_manager.h"
#include "http/server.h"

namespace martenyard::gateway {

class OperatorApi {
 public:
  explicit OperatorApi(bundle::RollManager& rolls) : rolls_(rolls) {}

  /// @return false if the path is not part of this API.
  bool Handle(const http::Request& request, const std::shared_ptr<http::Responder>& responder);

 private:
  bundle::RollManager& rolls_;
};

}  // namespace martenyard::gateway
