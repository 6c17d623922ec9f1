// The lease under which a gateway uses its configuration. Decision logic: no I/O, no clock.
//
// It bounds how long a revoked key is accepted, also on machines that are cut off from the change: a gateway
// accepts keys only while its configuration is known to have been the newest less than the lease's duration
// ago. The lease runs from when the confirmation was requested, by this process's steady clock, so network
// delays and suspensions of the process can only shorten it.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace martenyard::tenancy
{

using instant = std::chrono::steady_clock::time_point;

class configuration_lease
{
  public:
    /// a lease without a bound, which is always valid
    configuration_lease() = default;

    /// @param[in] duration  from when the configuration was last known to be the newest
    explicit configuration_lease(std::chrono::milliseconds duration) : m_duration(duration)
    {
    }

    /// @return whether the lease can expire
    bool bounded() const
    {
        return m_duration.has_value();
    }

    /// @brief puts a revision of the configuration in force
    void set_revision(std::uint64_t revision);

    /// @brief records which revision is the newest, as reported by the store or a peer
    /// @param[in] requested_at  when this process sent the request, minus the age of the reported state
    /// @param[in] revision      the newest revision at that time or later
    void confirm(instant requested_at, std::uint64_t revision);

    /// @return whether API keys may be accepted now
    bool is_valid(instant now) const;

    /// @return when the configuration in force was last known to be the newest, if ever
    std::optional<instant> last_confirmed() const
    {
        return m_last_confirmed;
    }

    std::uint64_t revision() const
    {
        return m_revision;
    }

  private:
    std::optional<std::chrono::milliseconds> m_duration;
    std::uint64_t m_revision = 0;
    std::optional<instant> m_last_confirmed;
    /// the same for a newer revision that is not in force here yet
    std::optional<instant> m_newer_confirmed;
    std::uint64_t m_newer_revision = 0;
};

}  // namespace martenyard::tenancy
