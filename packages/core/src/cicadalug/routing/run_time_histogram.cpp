#include <cicadalug/routing/run_time_histogram.hpp>

#include <algorithm>
#include <cmath>

namespace cicadalug {

namespace {

constexpr double min_bucket_us = 100.0;
constexpr double buckets_per_doubling = 4.0;
// Weight of the declared run time, in observations. It is low because declared values are often far from the real ones.
constexpr float declared_weight = 2.0F;
// Total weight at which all counts are halved, so that a changed run time takes effect after about this many
// observations.
constexpr float halving_weight = 512.0F;
constexpr double mean_weight = 1.0 / 64.0;

[[nodiscard]] auto bucket_index_of(const microseconds sample) noexcept -> std::size_t
{
    const auto ratio = std::max(1.0, static_cast<double>(sample.count()) / min_bucket_us);
    return std::min(run_time_histogram::bucket_count - 1,
                    static_cast<std::size_t>(std::log2(ratio) * buckets_per_doubling));
}

[[nodiscard]] auto upper_end(const std::size_t number) noexcept -> microseconds
{
    return microseconds{static_cast<microseconds::rep>(
        min_bucket_us * std::exp2(static_cast<double>(number + 1) / buckets_per_doubling))};
}

} // namespace

auto make_run_time_histogram(const milliseconds declared) -> run_time_histogram
{
    run_time_histogram times;
    times.m_counts[bucket_index_of(declared)] = declared_weight;
    times.m_total = declared_weight;
    times.m_mean = static_cast<double>(microseconds{declared}.count());
    return times;
}

auto record_run_time(run_time_histogram& times, const microseconds sample) noexcept -> void
{
    ++times.m_samples;
    times.m_counts[bucket_index_of(sample)] += 1.0F;
    times.m_total += 1.0F;
    const auto weight = std::max(mean_weight, 1.0 / static_cast<double>(times.m_samples));
    times.m_mean += weight * (static_cast<double>(sample.count()) - times.m_mean);
    if (times.m_total >= halving_weight) {
        for (auto& count : times.m_counts) {
            count *= 0.5F;
        }
        times.m_total *= 0.5F;
    }
}

auto percentile(const run_time_histogram& times, const double share) noexcept -> microseconds
{
    auto above = static_cast<float>(1.0 - share) * times.m_total;
    for (auto number = run_time_histogram::bucket_count; number > 0; --number) {
        above -= times.m_counts[number - 1];
        if (above < 0) {
            return upper_end(number - 1);
        }
    }
    return upper_end(0);
}

} // namespace cicadalug
