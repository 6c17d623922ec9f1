#include "forwarding/crashes/request_fingerprint.h"

#include <gtest/gtest.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace martenyard::forwarding
{
namespace
{

request_identity turn()
{
    request_identity identity;
    identity.m_tenant = "north";
    identity.m_method = "POST";
    identity.m_host = "h.example";
    identity.m_target = "/stream/1";
    identity.m_program = "p";
    identity.m_session = "line-1";
    identity.m_previous_turn = "turn-1";
    identity.m_prompt_part = 7;
    identity.m_body = "body";
    return identity;
}

TEST(RequestFingerprintTest, AllGatewaysOfADeploymentComputeTheSame)
{
    EXPECT_EQ(fingerprint_hasher("secret").fingerprint(turn()),
              fingerprint_hasher("secret").fingerprint(turn()));
    EXPECT_NE(fingerprint_hasher("secret").fingerprint(turn()),
              fingerprint_hasher("other").fingerprint(turn()));
    EXPECT_EQ(fingerprint_hasher("secret").fingerprint(turn())->hex().size(), 32U);
}

// Guards against a request that is held back for another one's crashes.
TEST(RequestFingerprintTest, RequestsThatDifferInOnePartAreTwo)
{
    fingerprint_hasher hasher("secret");
    const std::vector<std::function<void(request_identity&)>> changes = {
        [](request_identity&) {},
        [](request_identity& identity)
        {
            identity.m_tenant = "south";
        },
        [](request_identity& identity)
        {
            identity.m_method = "PUT";
        },
        [](request_identity& identity)
        {
            identity.m_host = "g.example";
        },
        [](request_identity& identity)
        {
            identity.m_target = "/stream/2";
        },
        [](request_identity& identity)
        {
            identity.m_program = "q";
        },
        [](request_identity& identity)
        {
            identity.m_session = "line-2";
        },
        [](request_identity& identity)
        {
            identity.m_previous_turn = "turn-2";
        },
        [](request_identity& identity)
        {
            identity.m_prompt_part = 8;
        },
        [](request_identity& identity)
        {
            identity.m_prompt_part = 0;
            identity.m_body = "bodY";
        },
        [](request_identity& identity)
        {
            identity.m_program = "";
            identity.m_session = "pline-1";
        },
    };
    std::set<request_fingerprint> fingerprints;
    for (const auto& change : changes)
    {
        request_identity identity = turn();
        change(identity);
        EXPECT_TRUE(fingerprints.insert(hasher.fingerprint(identity).value()).second);
    }
}

// Guards against a bodiless call of many clients that is held back for all of them.
TEST(RequestFingerprintTest, RequestsThatNothingTellsApartHaveNone)
{
    request_identity identity = turn();
    identity.m_program = identity.m_session = identity.m_previous_turn = identity.m_body = "";
    identity.m_prompt_part = 0;
    EXPECT_EQ(fingerprint_hasher("secret").fingerprint(identity), std::nullopt);
    identity.m_body = "b";
    EXPECT_NE(fingerprint_hasher("secret").fingerprint(identity), std::nullopt);
}

}  // namespace
}  // namespace martenyard::forwarding
