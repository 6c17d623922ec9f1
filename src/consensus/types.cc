#include "consensus/types.h"

#include <algorithm>

namespace martenyard::consensus {

bool Configuration::IsVoter(NodeId node) const {
  return std::find(voters.begin(), voters.end(), node) != voters.end();
}

bool Configuration::IsLearner(NodeId node) const {
  return std::find(learners.begin(), learners.end(), node) != learners.end();
}

std::vector<NodeId> Configuration::Members() const {
  std::vector<NodeId> members = voters;
  members.insert(members.end(), learners.begin(), learners.end());
  return members;
}

}  // namespace martenyard::consensus
