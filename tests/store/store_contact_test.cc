#include "store/store_contact.h"

#include <gtest/gtest.h>

#include "absl/time/clock.h"

namespace martenyard::store {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

absl::Time At(int milliseconds) { return kStart + absl::Milliseconds(milliseconds); }

TEST(StoreContactTest, AnswerAfterSilenceIsAReturnAndOthersAreNot) {
  StoreContact contact;
  contact.NoteAnswer(At(0));
  EXPECT_EQ(contact.returns(), 0U);
  contact.NoteSilence(At(10));
  EXPECT_EQ(contact.returns(), 0U) << "nobody has answered yet";
  contact.NoteAnswer(At(20));
  contact.NoteAnswer(At(30));
  EXPECT_EQ(contact.returns(), 1U);
}

TEST(StoreContactTest, CallThatWasLostBeforeTheReturnTellsNothingNewWhenItEnds) {
  StoreContact contact;
  contact.NoteSilence(At(10));
  contact.NoteAnswer(At(20));
  contact.NoteSilence(At(15));  // Started before the reply at 20 ms, timed out after it.
  contact.NoteAnswer(At(30));
  EXPECT_EQ(contact.returns(), 1U);
  contact.NoteSilence(At(40));
  contact.NoteAnswer(At(50));
  EXPECT_EQ(contact.returns(), 2U);
}

TEST(StoreContactTest, FollowersAreToldOfReturnsUntilTheyLeave) {
  StoreContact contact;
  int told = 0;
  contact.Follow(&told, [&told] { ++told; });
  contact.NoteSilence(At(10));
  EXPECT_EQ(told, 0);
  contact.NoteAnswer(At(20));
  EXPECT_EQ(told, 1);
  contact.Unfollow(&told);
  contact.NoteSilence(At(30));
  contact.NoteAnswer(At(40));
  EXPECT_EQ(told, 1);
}

TEST(AnswerPatienceTest, GrowsWithSilenceAndWithLateAnswersAndComesBack) {
  AnswerPatience patience;
  EXPECT_EQ(patience.limit(), AnswerPatience::kLeast);
  patience.NoteSilence();
  EXPECT_EQ(patience.limit(), 2 * AnswerPatience::kLeast);
  patience.NoteSilence();
  patience.NoteSilence();
  EXPECT_EQ(patience.limit(), AnswerPatience::kMost);
  patience.NoteAnswer(absl::Milliseconds(350));
  EXPECT_EQ(patience.limit(), absl::Milliseconds(1050)) << "thrice as late as the last one";
  for (int answers = 0; answers < 5; ++answers) {
    patience.NoteAnswer(absl::Milliseconds(4));
  }
  EXPECT_EQ(patience.limit(), AnswerPatience::kLeast);
  patience.NoteAnswer(absl::Milliseconds(-900));  // A watch that the store cut short.
  EXPECT_EQ(patience.limit(), AnswerPatience::kLeast);
}

}  // namespace
}  // namespace martenyard::store
