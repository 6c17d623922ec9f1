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

  void Configure(int slots, bool lends, double share, bool leaving = false) {
    dispatcher_.SetEngines(now_, {{BackendName("e"), kOwner, slots, leaving, lends, share}});
  }

  void Ask(const std::string& key, const PartnerName& partner = kOwner, bool holding = false,
           ledger::Tokens attained = 0) {
    PermitAsk ask;
    ask.grant = Grant(key);
    ask.engine = BackendName("e");
    ask.partner = partner;
    ask.holding = holding;
    ask.attained = attained;
    dispatcher_.OnSync(now_, kGateway, {{ask}});
  }

  static ledger::Grant Grant(const std::string& key) {
    return {ProgramId("p-" + key), CallKey(key), 1};
  }

  void Release(const std::string& key, bool leaves = false) {
    dispatcher_.OnRelease(now_, kGateway, {Grant(key), BackendName("e"), leaves});
  }

  /// @return the last verdict on each key since the last look, as "key:verdict key:verdict".
  std::string Verdicts() {
    std::map<std::string, std::string> last;
    for (const NewsTo& news : dispatcher_.TakeNews()) {
      for (const PermitAnswer& answer : news.news.answers) {
        static const char* const kNames[] = {"granted", "queued", "refused", "full"};
        last[answer.grant.key.value] = kNames[static_cast<int>(answer.verdict)];
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
  Ask("a");
  Ask("b");
  Ask("c");
  EXPECT_EQ(Verdicts(), "a:granted b:granted ");
  Release("a");
  EXPECT_EQ(Verdicts(), "c:granted ");
}

TEST_F(DispatcherTest, RepeatedWishIsAnsweredAgain) {
  Ask("a");
  Verdicts();
  Ask("a");
  EXPECT_EQ(Verdicts(), "a:granted ");
  EXPECT_EQ(dispatcher_.Loads()[0].in_flight, 1);
}

TEST_F(DispatcherTest, WishNotRepeatedLapsesAndItsSlotIsFree) {
  Ask("a");
  Ask("b");
  Ask("c");
  Verdicts();
  now_ += absl::Milliseconds(1900);
  Ask("c");
  now_ += absl::Milliseconds(200);
  dispatcher_.Tick(now_);
  EXPECT_EQ(Verdicts(), "c:granted ");
}

TEST_F(DispatcherTest, NewDispatcherLearnsWhatRunsFromTheGateways) {
  Ask("a", kOwner, /*holding=*/true);
  Ask("b", kOwner, /*holding=*/true);
  Ask("c");
  EXPECT_EQ(dispatcher_.Loads()[0].in_flight, 2);
  EXPECT_EQ(dispatcher_.Loads()[0].queued, 1);
}

TEST_F(DispatcherTest, LeavingEngineRefusesWaitersAndKeepsWhatRuns) {
  Ask("a");
  Ask("b");
  Ask("c");
  Verdicts();
  Configure(2, false, 0.0, /*leaving=*/true);
  EXPECT_EQ(Verdicts(), "c:refused ");
  Ask("d");
  EXPECT_EQ(Verdicts(), "d:refused ");
  EXPECT_EQ(dispatcher_.Loads()[0].in_flight, 2);
}

TEST_F(DispatcherTest, EngineThatRefusedAsLeavingIsBelievedBeforeTheList) {
  Ask("a");
  Verdicts();
  Release("a", /*leaves=*/true);
  Configure(2, false, 0.0, /*leaving=*/false);
  Ask("b");
  EXPECT_EQ(Verdicts(), "b:refused ");
}

TEST_F(DispatcherTest, BorrowersGetOnlyWhatIsLentAndNeverBeforeTheOwner) {
  Ask("x", kBorrower);
  EXPECT_EQ(Verdicts(), "") << "nothing is lent";
  Configure(2, /*lends=*/true, 0.5);
  EXPECT_EQ(Verdicts(), "x:granted ");
  Ask("y", kBorrower);
  EXPECT_EQ(Verdicts(), "") << "half of two slots is lent";
  Ask("a");
  Ask("b");
  EXPECT_EQ(Verdicts(), "a:granted ");
  Release("x");
  EXPECT_EQ(Verdicts(), "b:granted ") << "the owner's call goes before the borrower's";
}

TEST_F(DispatcherTest, LeastServedProgramGetsTheFreeSlot) {
  Ask("a");
  Ask("b");
  Ask("much", kOwner, false, 100000);
  Ask("some", kOwner, false, 10);
  Verdicts();
  Release("a");
  EXPECT_EQ(Verdicts(), "some:granted ");
}

TEST_F(DispatcherTest, FreshEngineOpensItsSlotsSlowly) {
  now_ += absl::Seconds(60);
  dispatcher_.SetEngines(now_, {{BackendName("e"), kOwner, 2, false, false, 0.0},
                                {BackendName("new"), kOwner, 8, false, false, 0.0}});
  for (int number = 0; number < 8; ++number) {
    PermitAsk ask;
    ask.grant = Grant("n" + std::to_string(number));
    ask.engine = BackendName("new");
    ask.partner = kOwner;
    dispatcher_.OnSync(now_, kGateway, {{ask}});
  }
  EXPECT_EQ(dispatcher_.Loads()[1].in_flight, 1);
  now_ += absl::Seconds(1);
  dispatcher_.Tick(now_);
  EXPECT_EQ(dispatcher_.Loads()[1].in_flight, 4);
}

TEST_F(DispatcherTest, UnknownEngineIsRefused) {
  dispatcher_.SetEngines(now_, {});
  Ask("a");
  EXPECT_EQ(Verdicts(), "a:refused ");
}

}  // namespace
}  // namespace martenyard::dispatch
