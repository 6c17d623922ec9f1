#include "bundle/bundle.h"

#include <gtest/gtest.h>

#include "bundle/roll.h"
#include "bundle/signature.h"

namespace martenyard::bundle {
namespace {

constexpr char kGood[] = R"(
partner = "trust"
version = "1"
[[program]]
name = "bequest"
budget_tokens = 5000
models = ["scribe-pool"]
)";

std::string FaultOf(const std::string& text) {
  return Recover<BundleError>(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(ParseBundle(text));
        return std::string();
      },
      [](const BundleError& error) { return error.detail; });
}

TEST(BundleTest, ReadsLimitsAndFillsInDefaults) {
  Bundle bundle = *ParseBundle(kGood);
  ASSERT_EQ(bundle.programs.size(), 1U);
  EXPECT_EQ(bundle.programs[0].limits.budget_tokens, 5000);
  EXPECT_EQ(bundle.programs[0].limits.max_calls, 200U);
  EXPECT_TRUE(bundle.programs[0].MayCall(ledger::CallKind::kModel, "scribe-pool"));
  EXPECT_FALSE(bundle.programs[0].MayCall(ledger::CallKind::kTool, "scribe-pool"));
}

struct BadBundle {
  const char* name;
  const char* text;
  const char* said;
};

class BadBundleTest : public ::testing::TestWithParam<BadBundle> {};

TEST_P(BadBundleTest, IsRefusedNamingTheKey) {
  EXPECT_NE(FaultOf(GetParam().text).find(GetParam().said), std::string::npos)
      << FaultOf(GetParam().text);
}

INSTANTIATE_TEST_SUITE_P(
    Faults, BadBundleTest,
    ::testing::Values(
        BadBundle{"NotToml", "partner = ", "not TOML"},
        BadBundle{"NoPartner", "version = \"1\"\n[[program]]\nname = \"a\"", "'partner'"},
        BadBundle{"NoProgram", "partner = \"p\"\nversion = \"1\"", "'program'"},
        BadBundle{"UnknownKey",
                  "partner = \"p\"\nversion = \"1\"\ncolour = 1\n[[program]]\nname = \"a\"",
                  "'colour': is not known"},
        BadBundle{"UnknownKeyInside",
                  "partner = \"p\"\nversion = \"1\"\n[[program]]\nname = \"a\"\nbugdet = 1",
                  "'program.bugdet'"},
        BadBundle{
            "WrongType",
            "partner = \"p\"\nversion = \"1\"\n[[program]]\nname = \"a\"\nbudget_tokens = \"x\"",
            "'program.budget_tokens'"},
        BadBundle{"OutOfRange",
                  "partner = \"p\"\nversion = \"1\"\n[[program]]\nname = \"a\"\npriority = 10",
                  "from 0 to 9"},
        BadBundle{"DuplicateName",
                  "partner = \"p\"\nversion = \"1\"\n[[program]]\nname = \"a\"\n[[program]]\nname "
                  "= \"a\"",
                  "is defined twice"},
        BadBundle{"BadTokenHash",
                  "partner = \"p\"\nversion = \"1\"\n[[program]]\nname = \"a\"\n[[caller]]\nname = "
                  "\"c\"\ntoken_hash = \"12\"",
                  "'caller.token_hash'"}),
    [](const auto& info) { return info.param.name; });

TEST(SignatureTest, VerifiesOnlyTheExactBytesAndTheRightKey) {
  KeyPair keys = GenerateKeyPair();
  KeyPair other = GenerateKeyPair();
  std::string signature = *Sign("bytes", keys.private_key);
  EXPECT_TRUE(Verify("bytes", signature, keys.public_key));
  EXPECT_FALSE(Verify("bytes ", signature, keys.public_key));
  EXPECT_FALSE(Verify("bytes", signature, other.public_key));
  EXPECT_FALSE(Verify("bytes", signature + "00", keys.public_key));
  EXPECT_FALSE(Verify("bytes", "no hex", keys.public_key));
  EXPECT_FALSE(Sign("bytes", "no key").has_value());
  EXPECT_EQ(Sha256("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

class BundleBookTest : public ::testing::Test {
 protected:
  SignedRoll MakeRoll(std::uint64_t epoch, const std::string& text) {
    SignedRoll roll;
    roll.bundle_text = text;
    roll.bundle_signature = *Sign(text, keys_.private_key);
    roll.statement = {PartnerName("trust"), epoch, Sha256(text)};
    roll.statement_signature = *Sign(roll.statement.SignedBytes(), keys_.private_key);
    return roll;
  }
  bool Accept(const SignedRoll& roll) {
    return Recover<BundleError>([&] { return book_.Accept(roll); },
                                [](const BundleError&) { return false; });
  }
  KeyPair keys_ = GenerateKeyPair();
  BundleBook book_{{{PartnerName("trust"), keys_.public_key}}};
};

TEST_F(BundleBookTest, AcceptsOnlyHigherEpochs) {
  EXPECT_TRUE(Accept(MakeRoll(3, kGood)));
  EXPECT_FALSE(Accept(MakeRoll(2, kGood)));
  EXPECT_FALSE(Accept(MakeRoll(3, std::string(kGood) + "\n")));
  EXPECT_EQ(book_.Find(PartnerName("trust"))->epoch, 3U);
}

TEST_F(BundleBookTest, RejectsRollsThatAreNotFullySigned) {
  SignedRoll other_epoch = MakeRoll(1, kGood);
  other_epoch.statement.epoch = 5;
  EXPECT_FALSE(Accept(other_epoch));
  SignedRoll other_bundle = MakeRoll(1, kGood);
  other_bundle.bundle_text += "# changed";
  EXPECT_FALSE(Accept(other_bundle));
  SignedRoll foreign = MakeRoll(1, kGood);
  foreign.bundle_signature = *Sign(foreign.bundle_text, GenerateKeyPair().private_key);
  EXPECT_FALSE(Accept(foreign));
  EXPECT_EQ(book_.Find(PartnerName("trust")), nullptr);
}

}  // namespace
}  // namespace martenyard::bundle
