// Tells whether processes of other zones still answer this gateway. Decision logic: no I/O, no clock.
//
// Only answers to own requests count, since a link may work in one direction only. The expiry of peers from
// the aggregators' lists is not used: it takes longer than the decision may, and does not tell a partition
// from machines that were removed.
#pragma once

#include <chrono>
#include <optional>

namespace martenyard::roles
{

/// @brief tuning parameters
struct zone_contact_options
{
    /// other zones are asked after this time without an answer. Exceeds the interval of ledger probes, so
    /// that nothing is asked while ledger machines of other zones answer.
    std::chrono::milliseconds m_ask_after{225};
    /// contact is lost only after this time without an answer ...
    std::chrono::milliseconds m_lost_after{350};
    /// ... of which a question was pending for this long; less than the interval of updates, of which the
    /// next one decides
    std::chrono::milliseconds m_answer_timeout{90};
    /// after a longer time between two updates the process was suspended; answers may not have been read yet
    std::chrono::milliseconds m_suspended_after{300};
};

/// @brief whether other zones answer
enum class zone_contact_state
{
    /// not known yet, or there is nobody to ask
    unknown,
    heard,
    lost,
};

/// @brief tracks questions to other zones and their answers
class zone_contact
{
  public:
    using instant = std::chrono::steady_clock::time_point;

    explicit zone_contact(const zone_contact_options& options = {});

    /// @brief a process of another zone has answered a request of this gateway
    void record_answer(instant now);

    /// @brief updates the state; called at regular intervals
    /// @return whether to ask other zones now
    bool update(instant now);

    /// @brief a question was sent to at least one process of another zone
    void record_question(instant now);

    zone_contact_state state() const
    {
        return m_state;
    }

  private:
    zone_contact_options m_options;
    zone_contact_state m_state = zone_contact_state::unknown;
    std::optional<instant> m_updated_at;
    std::optional<instant> m_answered_at;
    /// time of the first question after the last answer
    std::optional<instant> m_unanswered_since;
};

}  // namespace martenyard::roles
