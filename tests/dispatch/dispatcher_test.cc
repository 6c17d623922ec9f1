#include "dispatch/dispatcher.h"

#include <gtest/gtest.h>

namespace martenyard::dispatch {
namespace {

const NodeId kGateway{1};
const PartnerName kOwner{"tournament"};
const PartnerName kBorrower{"trust"};

class DispatcherTest : public ::testing::Test {
 protected:
  void SetUp() override { Configure(2, /*lends=*/false, 0.0); }

  void Configure(int slots, bool lends, double share, bool draining = false) {
    dispatcher_.SetEngines(now_, {{BackendName("e"), kOwner, slots, draining, lends, share}});
  }

  void Request(const std::string& key, const PartnerName& partner = kOwner,
               bool holds_permit = false, ledger::Tokens attained = 0) {
    PermitAsk request;
    request.grant = Grant(key);
    request.engine = BackendName("e");
    request.partner = partner;
    request.holds_permit = holds_permit;
    request.attained = attained;
    dispatcher_.OnSync(now_, kGateway, {{request}});
  }

  static ledger::Grant Grant(const std::string& key) {
    return {ProgramId("p-" + key), CallKey(key), 1};
  }

  void Release(const std::string& key, bool engine_draining = false) {
    dispatcher_.OnRelease(now_, kGateway, {Grant(key), BackendName("e"), engine_draining});
  }

  /// @return the latest verdict on each key since the previous call, as "key:verdict key:verdict ".
  std::string Verdicts() {
    std::map<std::string, std::string> last;
    for (const OutgoingPermitUpdate& outgoing : dispatcher_.TakeUpdates()) {
      for (const PermitReply& reply : outgoing.update.replies) {
        static const char* const kVerdictNames[] = {"granted", "queued", "refused", "full"};
        last[reply.grant.key.value] = kVerdictNames[static_cast<int>(reply.verdict)];
      }
    }
    std::string text;
    for (const auto& [key, verdict] : last) {
      text += key + ":" + verdict + " ";
    }
    return text;
  }

  absl::Time now_ = absl::FromUnixSeconds(1000);
  Dispatcher dispatcher_{DispatcherOptions{}, absl::FromUnixSeconds(1000)};
};

TEST_F(DispatcherTest, GrantsUpToTheSlotsAndTheNextOnRelease) {
  Request("a");
  Request("b");
  Request("c");
  EXPECT_EQ(Verdicts(), "a:granted b:granted ");
  Release("a");
  EXPECT_EQ(Verdicts(), "c:granted ");
}

TEST_F(DispatcherTest, RepeatedRequestIsAnsweredAgain) {
  Request("a");
  Verdicts();
  Request("a");
  EXPECT_EQ(Verdicts(), "a:granted ");
  EXPECT_EQ(dispatcher_.Loads()[0].in_flight, 1);
}

TEST_F(DispatcherTest, RequestNotRepeatedExpiresAndFreesItsSlot) {
  Request("a");
  Request("b");
  Request("c");
  Verdicts();
  now_ += absl::Milliseconds(1900);
  Request("c");
  now_ += absl::Milliseconds(200);
  dispatcher_.Tick(now_);
  EXPECT_EQ(Verdicts(), "c:granted ");
}

TEST_F(DispatcherTest, NewDispatcherLearnsPermitsInUseFromTheGateways) {
  Request("a", kOwner, /*holds_permit=*/true);
  Request("b", kOwner, /*holds_permit=*/true);
  Request("c");
  EXPECT_EQ(dispatcher_.Loads()[0].in_flight, 2);
  EXPECT_EQ(dispatcher_.Loads()[0].queued, 1);
}

TEST_F(DispatcherTest, DrainingEngineRefusesQueuedRequestsAndKeepsGrantedOnes) {
  Request("a");
  Request("b");
  Request("c");
  Verdicts();
  Configure(2, false, 0.0, /*draining=*/true);
  EXPECT_EQ(Verdicts(), "c:refused ");
  Request("d");
  EXPECT_EQ(Verdicts(), "d:refused ");
  EXPECT_EQ(dispatcher_.Loads()[0].in_flight, 2);
}

TEST_F(DispatcherTest, EngineReportedAsDrainingStaysSoDespiteTheMachineList) {
  Request("a");
  Verdicts();
  Release("a", /*engine_draining=*/true);
  Configure(2, false, 0.0, /*draining=*/false);
  Request("b");
  EXPECT_EQ(Verdicts(), "b:refused ");
}

TEST_F(DispatcherTest, BorrowersGetOnlyLentSlotsAndNeverBeforeTheOwner) {
  Request("x", kBorrower);
  EXPECT_EQ(Verdicts(), "") << "nothing is lent";
  Configure(2, /*lends=*/true, 0.5);
  EXPECT_EQ(Verdicts(), "x:granted ");
  Request("y", kBorrower);
  EXPECT_EQ(Verdicts(), "") << "half of two slots is lent";
  Request("a");
  Request("b");
  EXPECT_EQ(Verdicts(), "a:granted ");
  Release("x");
  EXPECT_EQ(Verdicts(), "b:granted ") << "the owner's call goes before the borrower's";
}

TEST_F(DispatcherTest, FreeSlotGoesToTheLeastAttainedService) {
  Request("a");
  Request("b");
  Request("much", kOwner, false, 100000);
  Request("some", kOwner, false, 10);
  Verdicts();
  Release("a");
  EXPECT_EQ(Verdicts(), "some:granted ");
}

TEST_F(DispatcherTest, NewEngineOpensItsSlotsGradually) {
  now_ += absl::Seconds(60);
  dispatcher_.SetEngines(now_, {{BackendName("e"), kOwner, 2, false, false, 0.0},
                                {BackendName("new"), kOwner, 8, false, false, 0.0}});
  for (int number = 0; number < 8; ++number) {
    PermitAsk request;
    request.grant = Grant("n" + std::to_string(number));
    request.engine = BackendName("new");
    request.partner = kOwner;
    dispatcher_.OnSync(now_, kGateway, {{request}});
  }
  EXPECT_EQ(dispatcher_.Loads()[1].in_flight, 1);
  now_ += absl::Seconds(1);
  dispatcher_.Tick(now_);
  EXPECT_EQ(dispatcher_.Loads()[1].in_flight, 4);
}

TEST_F(DispatcherTest, UnknownEngineIsRefused) {
  dispatcher_.SetEngines(now_, {});
  Request("a");
  EXPECT_EQ(Verdicts(), "a:refused ");
}

}  // namespace
}  // namespace martenyard::dispatch
