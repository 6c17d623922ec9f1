// Compares the service times of a service's runners. Decision logic: no I/O, no clock.
#pragma once

#include "discovery/load/service_time_estimate.h"

namespace martenyard::discovery
{

/// @brief tuning parameters
struct runner_speed_options
{
    /// completions at the service's mean that every runner starts with, so that few samples weigh less
    double m_credit = 2;
    double m_fastest = 0.25;
    double m_slowest = 4;
    /// loss rate from which on a runner counts as no faster than the mean
    double m_full_loss_rate = 0.05;
};

/// @brief mean service time of a service, and each runner's service time relative to it
class runner_speeds
{
  public:
    explicit runner_speeds(const runner_speed_options& options = {});

    /// @brief adds a runner to the mean
    void add(const service_time_sample& sample);

    /// @return the mean service time; zero while it is unknown
    std::chrono::duration<double> mean() const;

    /// @param[in] loss_rate  the runner's expected share of lost requests. Requests that fail fast must not
    /// make it look fast
    /// @return the service time relative to the mean; 1 while it is unknown
    double relative(const service_time_sample& sample, double loss_rate) const;

  private:
    runner_speed_options m_options;
    service_time_sample m_total;
};

}  // namespace martenyard::discovery
