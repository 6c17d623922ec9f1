// peer_link over sockets, with peers of this build and simulated peers of earlier builds: each peer must get
// requests in a layout that it reads, also after it restarts as another build.
#include "roles/peers/peer_link.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "layouts/samples.h"
#include "wire/codec.h"

namespace martenyard::roles
{
namespace
{

using turn_ledger::LedgerRequest;
using wire::Layout;

/// A process of an earlier build: reads and answers a single layout and drops other frames.
class earlier_peer
{
  public:
    earlier_peer(wire::EventLoop& loop, Layout layout, const wire::Endpoint& address = {"127.0.0.1", 0})
        : m_layout(layout),
          m_transport(
              loop,
              [this](const std::string& payload)
              {
                  on_frame(payload);
              },
              [](const std::string&) {}, [](const wire::Endpoint&, absl::Time) {})
    {
        m_endpoint = *m_transport.Listen(address);
    }

    const wire::Endpoint& endpoint() const
    {
        return m_endpoint;
    }

    std::vector<LedgerRequest> m_requests;
    int m_unreadable = 0;

  private:
    void on_frame(const std::string& payload)
    {
        auto envelope = wire::Decode<turn_ledger::Envelope>(payload, m_layout);
        if (!envelope)
        {
            ++m_unreadable;
            return;
        }
        auto& request = std::get<LedgerRequest>(envelope->body);
        m_requests.push_back(request);
        turn_ledger::LedgerReply reply;
        reply.request = request.request;
        turn_ledger::Envelope reply_envelope{{"earlier", NodeId(1), m_endpoint, ZoneName("z")}, reply};
        m_transport.SendFrame(envelope->from.endpoint, wire::Encode(reply_envelope, m_layout));
    }

    Layout m_layout;
    wire::Transport m_transport;
    wire::Endpoint m_endpoint;
};

/// A process of this build; answers every request.
class current_process
{
  public:
    explicit current_process(wire::EventLoop& loop, const wire::Endpoint& address = {"127.0.0.1", 0})
        : m_log(m_file, "current"),
          m_transport(
              loop,
              [this](const std::string& payload)
              {
                  on_frame(payload);
              },
              [](const std::string&) {}, [](const wire::Endpoint&, absl::Time) {}),
          m_link(
              m_transport,
              [this]
              {
                  return turn_ledger::Machine{"current", NodeId(2), m_endpoint, ZoneName("z")};
              },
              m_log,
              [this](const wire::Endpoint&, std::uint64_t request)
              {
                  m_unsupported.push_back(request);
              })
    {
        m_endpoint = *m_transport.Listen(address);
    }
    ~current_process()
    {
        close(m_file);
    }

    peer_link& link()
    {
        return m_link;
    }
    const wire::Endpoint& endpoint() const
    {
        return m_endpoint;
    }

    std::vector<turn_ledger::decoded_message> m_requests;
    std::vector<std::uint64_t> m_replied;
    std::vector<std::uint64_t> m_unsupported;

  private:
    void on_frame(const std::string& payload)
    {
        auto message = m_link.read(payload);
        if (!message)
        {
            return;
        }
        if (auto* reply = std::get_if<turn_ledger::LedgerReply>(&message->m_envelope.body))
        {
            m_replied.push_back(reply->request);
            return;
        }
        auto& request = std::get<LedgerRequest>(message->m_envelope.body);
        turn_ledger::LedgerReply reply;
        reply.request = request.request;
        m_link.send_reply(message->m_envelope.from.endpoint, reply, message->m_layout);
        m_requests.push_back(*message);
    }

    int m_file = fileno(std::tmpfile());
    event_log::EventLog m_log;
    wire::Transport m_transport;
    wire::Endpoint m_endpoint;
    peer_link m_link;
};

class PeerLink : public ::testing::Test
{
  protected:
    bool run_until(const std::function<bool()>& condition)
    {
        for (absl::Time end = SteadyNow() + absl::Seconds(10); SteadyNow() < end;)
        {
            if (condition())
            {
                return true;
            }
            m_loop.RunRound(absl::Milliseconds(5));
        }
        return condition();
    }

    /// Sends a request with retries, as callers do. @return whether a reply arrived.
    bool request_with_retries(current_process& from, const wire::Endpoint& to,
                              turn_ledger::Operation operation)
    {
        LedgerRequest request = layouts::ledger_request<LedgerRequest>(std::move(operation));
        request.request = ++m_last_request;
        absl::Time next_try = absl::InfinitePast();
        return run_until(
            [&]
            {
                if (SteadyNow() >= next_try)
                {
                    next_try = SteadyNow() + absl::Milliseconds(200);
                    from.link().send_request(to, request);
                }
                return std::find(from.m_replied.begin(), from.m_replied.end(), m_last_request) !=
                       from.m_replied.end();
            });
    }

    wire::EventLoop m_loop;
    std::uint64_t m_last_request = 100;
};

TEST_F(PeerLink, PeersOfEarlierBuildsGetRequestsInTheirLayout)
{
    for (Layout layout : {Layout::kUnmarked1, Layout::kUnmarked2})
    {
        earlier_peer peer(m_loop, layout);
        current_process gateway(m_loop);
        for (int attempt = 0; attempt < 20; ++attempt)
        {
            ASSERT_TRUE(request_with_retries(gateway, peer.endpoint(), layouts::reservation()));
        }
        EXPECT_EQ(peer.m_requests.size(), 21U) << "each request once, and one probe";
        EXPECT_EQ(peer.m_unreadable, 2) << "the greeting, and a probe in the other layout";
        EXPECT_EQ(gateway.link().earlier_peers(), 1U);
    }
}

TEST_F(PeerLink, ProcessesOfThisBuildUseMarkedFramesFromTheFirstRequest)
{
    current_process ledger(m_loop);
    current_process gateway(m_loop);
    ASSERT_TRUE(request_with_retries(gateway, ledger.endpoint(), layouts::reservation()));
    const turn_ledger::decoded_message* first = nullptr;
    for (const turn_ledger::decoded_message& message : ledger.m_requests)
    {
        bool probe = std::holds_alternative<turn_ledger::Probe>(
            std::get<LedgerRequest>(message.m_envelope.body).operation);
        first = first == nullptr && !probe ? &message : first;
    }
    ASSERT_NE(first, nullptr);
    EXPECT_EQ(first->m_layout, wire::kNewestLayout);
    EXPECT_TRUE(std::get<LedgerRequest>(first->m_envelope.body).known_programs_only);
    EXPECT_EQ(ledger.link().stats().m_unreadable, 0U);
    EXPECT_EQ(gateway.link().earlier_peers(), 0U);
}

TEST_F(PeerLink, UnsupportedOperationIsReportedAndNotSent)
{
    earlier_peer peer(m_loop, Layout::kUnmarked1);
    current_process gateway(m_loop);
    LedgerRequest request = layouts::ledger_request<LedgerRequest>(turn_ledger::TakeQuota{});
    gateway.link().send_request(peer.endpoint(), request);
    EXPECT_TRUE(run_until(
        [&]
        {
            return !gateway.m_unsupported.empty();
        }));
    gateway.link().send_request(peer.endpoint(), request);
    EXPECT_EQ(gateway.m_unsupported.size(), 2U) << "immediately, since the layout of the peer is known";
    EXPECT_EQ(peer.m_unreadable, 2);
}

TEST_F(PeerLink, LayoutIsLearnedAgainWhenPeerRestartsAsEarlierOrLaterBuild)
{
    current_process gateway(m_loop);
    auto earlier = std::make_unique<earlier_peer>(m_loop, Layout::kUnmarked1);
    wire::Endpoint address = earlier->endpoint();
    ASSERT_TRUE(request_with_retries(gateway, address, layouts::reservation()));
    earlier.reset();
    auto current = std::make_unique<current_process>(m_loop, address);
    ASSERT_TRUE(request_with_retries(gateway, address, layouts::reservation()));
    current.reset();
    earlier = std::make_unique<earlier_peer>(m_loop, Layout::kUnmarked2, address);
    ASSERT_TRUE(request_with_retries(gateway, address, layouts::reservation()));
    EXPECT_EQ(gateway.link().earlier_peers(), 1U);
}

TEST_F(PeerLink, RequestsToUnreachablePeerAreDropped)
{
    current_process gateway(m_loop);
    wire::Endpoint unreachable{"127.0.0.1", 1};
    LedgerRequest request = layouts::ledger_request<LedgerRequest>(layouts::settlement());
    for (int attempt = 0; attempt < 50; ++attempt)
    {
        gateway.link().send_request(unreachable, request);
        m_loop.RunRound(absl::Milliseconds(1));
    }
    EXPECT_TRUE(run_until(
        [&]
        {
            return gateway.link().stats().m_dropped >= 49;
        }));
}

}  // namespace
}  // namespace martenyard::roles
