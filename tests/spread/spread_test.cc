#include "spread/spread.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>

namespace martenyard::spread {
namespace {

class Cluster {
 public:
  explicit Cluster(std::size_t size) {
    for (std::size_t number = 1; number <= size; ++number) {
      ids_.push_back(NodeId(number));
      auto validator = [](const Item& item) { return item.value != "forged"; };
      members_[NodeId(number)] =
          std::make_unique<Spread>(SpreadOptions{}, validator, number * 17, now_);
    }
  }

  std::vector<NodeId> PeersOf(NodeId id) {
    std::vector<NodeId> peers = ids_;
    std::erase(peers, id);
    return peers;
  }

  Spread& At(std::uint64_t id) { return *members_[NodeId(id)]; }

  void Deliver(double loss = 0.0) {
    bool busy = true;
    while (busy) {
      busy = false;
      for (NodeId from : ids_) {
        for (OutgoingSpreadMessage& message : members_[from]->TakeMessages()) {
          busy = true;
          if (random_.Uniform() >= loss) {
            members_[message.to]->OnMessage(from, message.message, PeersOf(message.to));
          }
        }
      }
    }
  }

  void Tick(double loss = 0.0) {
    now_ += absl::Seconds(1);
    for (NodeId id : ids_) {
      members_[id]->Tick(now_, PeersOf(id));
    }
    Deliver(loss);
  }

  std::size_t CountMembersWith(const std::string& key, std::uint64_t version) {
    std::size_t count = 0;
    for (NodeId id : ids_) {
      const Item* item = members_[id]->Find(key);
      count += item != nullptr && item->version == version ? 1 : 0;
    }
    return count;
  }

 private:
  absl::Time now_ = absl::FromUnixSeconds(1000);
  Random random_{5};
  std::vector<NodeId> ids_;
  std::map<NodeId, std::unique_ptr<Spread>> members_;
};

TEST(SpreadTest, NewItemReachesAllMembersDespiteMessageLoss) {
  Cluster cluster(50);
  cluster.At(1).Publish({"roll/a", 1, "x"}, cluster.PeersOf(NodeId(1)));
  cluster.Deliver(/*loss=*/0.5);
  for (int round = 0; round < 20 && cluster.CountMembersWith("roll/a", 1) < 50; ++round) {
    cluster.Tick(/*loss=*/0.3);
  }
  EXPECT_EQ(cluster.CountMembersWith("roll/a", 1), 50U);
}

TEST(SpreadTest, LowerVersionNeverReplacesAHigherOne) {
  Cluster cluster(3);
  cluster.At(1).Publish({"k", 2, "new"}, cluster.PeersOf(NodeId(1)));
  cluster.Deliver();
  EXPECT_FALSE(cluster.At(2).Publish({"k", 1, "old"}, cluster.PeersOf(NodeId(2))));
  SpreadMessage late;
  late.items = {{"k", 1, "old"}};
  cluster.At(3).OnMessage(NodeId(1), late, {});
  EXPECT_EQ(cluster.At(3).Find("k")->value, "new");
}

TEST(SpreadTest, InvalidItemIsNeitherStoredNorForwarded) {
  Cluster cluster(3);
  SpreadMessage message;
  message.items = {{"k", 9, "forged"}};
  cluster.At(2).OnMessage(NodeId(1), message, cluster.PeersOf(NodeId(2)));
  cluster.Deliver();
  EXPECT_EQ(cluster.CountMembersWith("k", 9), 0U);
}

TEST(SpreadTest, MembersWithEqualItemsExchangeOnlyDigests) {
  Cluster cluster(2);
  cluster.At(1).Publish({"k", 1, "v"}, cluster.PeersOf(NodeId(1)));
  cluster.Deliver();
  cluster.Tick();
  EXPECT_TRUE(cluster.At(1).TakeMessages().empty());
  EXPECT_EQ(cluster.At(2).TakeChanges().size(), 1U);
}

}  // namespace
}  // namespace martenyard::spread
