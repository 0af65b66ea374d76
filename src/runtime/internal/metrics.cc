// Metrics based on Boost.Accumulators.
#include "runtime/internal/metrics.h"

#include <algorithm>
#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <sstream>

#include "runtime/internal/lock_order.h"

namespace dn {
namespace {

namespace acc = boost::accumulators;

constexpr std::size_t kCounters = static_cast<std::size_t>(Counter::kCount);
constexpr std::size_t kTrafficKinds = EnumNames<TrafficKind>::kNames.size();
// Quantiles that the accumulator of request durations estimates.
constexpr std::array<double, 5> kProbabilities = {0.25, 0.5, 0.9, 0.99, 0.999};

constexpr std::array<std::string_view, kCounters> kCounterNames = {"requests_answered",
                                                                   "requests_not_run",
                                                                   "requests_unknown",
                                                                   "requests_cut_short",
                                                                   "requests_relayed",
                                                                   "requests_retried",
                                                                   "requests_malformed",
                                                                   "requests_duplicate",
                                                                   "dispatches",
                                                                   "backend_servers_ejected",
                                                                   "appends",
                                                                   "appended_records",
                                                                   "append_failures",
                                                                   "records_read",
                                                                   "records_skipped",
                                                                   "heartbeats_sent",
                                                                   "heartbeats_received",
                                                                   "configurations_in_force"};

constexpr std::size_t kGauges = EnumNames<Gauge>::kNames.size();
constexpr std::size_t kLatencies = EnumNames<Latency>::kNames.size();
// Upper bounds of the histogram buckets, in ms: from the duration of a call within
// one availability zone to the longest time that a caller waits.
constexpr std::array<std::int64_t, 12> kBucketBoundsMs = {1,   2,   5,   10,    20,    50,
                                                          100, 200, 500, 1'000, 2'000, 5'000};

using Accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max,
                                            acc::tag::extended_p_square_quantile>>;

// Returns `text` as the value of a label: anyone may choose the name of a zone.
std::string LabelValue(std::string_view text) {
  std::string out;
  for (const char c : text) {
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') out.push_back('\\');
    out.push_back(c);
  }
  return out;
}

}  // namespace

struct Metrics::Impl {
  // Indexed by latency and bucket; the last bucket has no upper bound.
  std::array<std::array<std::atomic<std::uint64_t>, kBucketBoundsMs.size() + 1>, kLatencies>
      histograms{};
  std::array<std::atomic<std::uint64_t>, kLatencies> sums_ms{};
  std::array<std::atomic<std::uint64_t>, kCounters> counters{};
  std::array<std::atomic<std::uint64_t>, kTrafficKinds> bytes{};
  std::array<std::atomic<std::int64_t>, kGauges> gauges{};
  Shared<std::map<std::string, std::int64_t>, LockRank::kMetrics> evacuated_zone_tasks;
  Shared<Accumulator, LockRank::kMetrics> request_times{
      Accumulator(acc::extended_p_square_probabilities = kProbabilities)};
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::Add(Counter counter, std::uint64_t by) {
  impl_->counters.at(static_cast<std::size_t>(counter)).fetch_add(by, std::memory_order_relaxed);
}

std::uint64_t Metrics::Value(Counter counter) const {
  return impl_->counters.at(static_cast<std::size_t>(counter)).load(std::memory_order_relaxed);
}

void Metrics::CountBytes(TrafficKind kind, std::size_t bytes) {
  impl_->bytes.at(static_cast<std::size_t>(kind)).fetch_add(bytes, std::memory_order_relaxed);
}

std::uint64_t Metrics::Bytes(TrafficKind kind) const {
  return impl_->bytes.at(static_cast<std::size_t>(kind)).load(std::memory_order_relaxed);
}

void Metrics::RecordRequestTime(double microseconds) {
  impl_->request_times.With([&](Accumulator& times) { times(microseconds); });
}

void Metrics::RecordLatency(Latency latency, Duration time) {
  const auto index = static_cast<std::size_t>(latency);
  const auto bucket = static_cast<std::size_t>(
      std::lower_bound(kBucketBoundsMs.begin(), kBucketBoundsMs.end(), time.count()) -
      kBucketBoundsMs.begin());
  impl_->histograms.at(index).at(bucket).fetch_add(1, std::memory_order_relaxed);
  impl_->sums_ms.at(index).fetch_add(
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, time.count())),
      std::memory_order_relaxed);
}

void Metrics::Set(Gauge gauge, std::int64_t value) {
  impl_->gauges.at(static_cast<std::size_t>(gauge)).store(value, std::memory_order_relaxed);
}

void Metrics::SetTasksInEvacuatedZones(std::map<std::string, std::int64_t> tasks) {
  impl_->evacuated_zone_tasks.With([&](auto& known) { known = std::move(tasks); });
}

Distribution Metrics::RequestTimes() const {
  return impl_->request_times.With([](Accumulator& times) {
    const auto quantile = [&](double probability) {
      return acc::quantile(times, acc::quantile_probability = probability);
    };
    if (acc::count(times) == 0) return Distribution{};
    return Distribution{.count = acc::count(times),
                        .mean = acc::mean(times),
                        .p50 = quantile(0.5),
                        .p99 = quantile(0.99),
                        .p999 = quantile(0.999),
                        .max = acc::max(times)};
  });
}

std::string_view Metrics::NameOf(Counter counter) {
  return kCounterNames.at(static_cast<std::size_t>(counter));
}

std::string Metrics::Prometheus() const {
  std::ostringstream out;
  for (std::size_t i = 0; i < kCounters; ++i) {
    const std::string_view name = kCounterNames.at(i);
    out << "# TYPE dn_" << name << "_total counter\n";
    out << "dn_" << name << "_total " << impl_->counters.at(i).load() << '\n';
  }
  out << "# TYPE dn_bytes_total counter\n";
  for (const auto& entry : EnumNames<TrafficKind>::kNames) {
    out << "dn_bytes_total{kind=\"" << entry.name << "\"} " << Bytes(entry.value) << '\n';
  }
  for (const auto& entry : EnumNames<Gauge>::kNames) {
    out << "# TYPE dn_" << entry.name << " gauge\n"
        << "dn_" << entry.name << ' '
        << impl_->gauges.at(static_cast<std::size_t>(entry.value)).load() << '\n';
  }
  out << "# TYPE dn_tasks_in_evacuated_zone gauge\n";
  for (const auto& [zone, tasks] :
       impl_->evacuated_zone_tasks.With([](const auto& known) { return known; })) {
    out << "dn_tasks_in_evacuated_zone{zone=\"" << LabelValue(zone) << "\"} " << tasks << '\n';
  }
  const Distribution times = RequestTimes();
  out << "# TYPE dn_request_time_us summary\n"
      << "dn_request_time_us{quantile=\"0.5\"} " << times.p50 << '\n'
      << "dn_request_time_us{quantile=\"0.99\"} " << times.p99 << '\n'
      << "dn_request_time_us{quantile=\"0.999\"} " << times.p999 << '\n'
      << "dn_request_time_us_count " << times.count << '\n';
  for (const auto& entry : EnumNames<Latency>::kNames) {
    const auto index = static_cast<std::size_t>(entry.value);
    std::uint64_t cumulative = 0;
    out << "# TYPE dn_" << entry.name << "_ms histogram\n";
    for (std::size_t i = 0; i <= kBucketBoundsMs.size(); ++i) {
      cumulative += impl_->histograms.at(index).at(i).load();
      out << "dn_" << entry.name << "_ms_bucket{le=\""
          << (i < kBucketBoundsMs.size() ? std::to_string(kBucketBoundsMs.at(i)) : "+Inf") << "\"} "
          << cumulative << '\n';
    }
    out << "dn_" << entry.name << "_ms_sum " << impl_->sums_ms.at(index).load() << '\n'
        << "dn_" << entry.name << "_ms_count " << cumulative << '\n';
  }
  return out.str();
}

}  // namespace dn
