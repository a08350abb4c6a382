#include "observe/metrics.h"

#include <fmt/format.h>

#include <boost/histogram.hpp>
#include <cstdlib>
#include <iterator>
#include <map>
#include <variant>

namespace knapweedstile::observe {
namespace {

namespace bh = boost::histogram;

// Bucket bounds are a factor of about 1.34 apart, so quantiles computed from
// them are accurate to within a third; the load tool measures exact ones.
constexpr unsigned kBuckets = 48;
constexpr double kMinSeconds = 0.0005;
constexpr double kMaxSeconds = 600.0;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using BucketCounts = decltype(bh::make_histogram(Axis(1, 1.0, 2.0)));

struct HistogramSeries {
  BucketCounts buckets =
      bh::make_histogram(Axis(kBuckets, kMinSeconds, kMaxSeconds));
  double sum = 0;
  uint64_t count = 0;
};

template <typename Series>
using SeriesMap = std::map<LabelValues, Series>;

struct Family {
  std::string help;
  std::vector<std::string> labels;
  std::variant<SeriesMap<uint64_t>, SeriesMap<double>,
               SeriesMap<HistogramSeries>>
      series;
};

constexpr std::string_view TypeName(const Family& family) {
  constexpr std::string_view kNames[] = {"counter", "gauge", "histogram"};
  return kNames[family.series.index()];
}

std::string EscapeLabelValue(std::string_view value) {
  std::string out;
  for (const char c : value) {
    if (c == '\n') {
      out += "\\n";
    } else {
      if (c == '"' || c == '\\') out += '\\';
      out += c;
    }
  }
  return out;
}

// Renders labels as `{a="x",b="y"}`, with `extra` as the last pair; empty when
// there are no pairs.
std::string RenderLabels(const Family& family, const LabelValues& values,
                         std::string_view extra = "") {
  std::string text;
  for (size_t i = 0; i < family.labels.size(); ++i) {
    if (!text.empty()) text += ',';
    text +=
        fmt::format("{}=\"{}\"", family.labels[i], EscapeLabelValue(values[i]));
  }
  if (!extra.empty()) {
    if (!text.empty()) text += ',';
    text += extra;
  }
  return text.empty() ? text : "{" + text + "}";
}

void RenderSeries(fmt::memory_buffer& out, const std::string& name,
                  const Family& family, const LabelValues& labels,
                  const HistogramSeries& series) {
  auto to = std::back_inserter(out);
  uint64_t cumulative = static_cast<uint64_t>(series.buckets.at(-1));
  for (unsigned i = 0; i < kBuckets; ++i) {
    cumulative += static_cast<uint64_t>(series.buckets.at(static_cast<int>(i)));
    const double upper = series.buckets.axis(0).value(i + 1);
    fmt::format_to(
        to, "{}_bucket{} {}\n", name,
        RenderLabels(family, labels, fmt::format("le=\"{:.6g}\"", upper)),
        cumulative);
  }
  fmt::format_to(to, "{}_bucket{} {}\n", name,
                 RenderLabels(family, labels, "le=\"+Inf\""), series.count);
  fmt::format_to(to, "{}_sum{} {}\n", name, RenderLabels(family, labels),
                 series.sum);
  fmt::format_to(to, "{}_count{} {}\n", name, RenderLabels(family, labels),
                 series.count);
}

template <typename Number>
void RenderSeries(fmt::memory_buffer& out, const std::string& name,
                  const Family& family, const LabelValues& labels,
                  Number value) {
  fmt::format_to(std::back_inserter(out), "{}{} {}\n", name,
                 RenderLabels(family, labels), value);
}

// A call that does not match the family's declaration is a bug.
[[noreturn]] void AbortUndeclared() { std::abort(); }

}  // namespace

class Metrics::Impl {
 public:
  template <typename Series>
  void Declare(std::string name, std::string help,
               std::vector<std::string> labels) {
    families_.emplace(
        std::move(name),
        Family{std::move(help), std::move(labels), SeriesMap<Series>()});
  }

  template <typename Series>
  Series& SeriesOf(std::string_view name, const LabelValues& labels) {
    const auto family = families_.find(name);
    if (family == families_.end()) AbortUndeclared();
    auto* series = std::get_if<SeriesMap<Series>>(&family->second.series);
    if (series == nullptr || labels.size() != family->second.labels.size()) {
      AbortUndeclared();
    }
    const auto found = series->find(labels);
    if (found != series->end()) return found->second;
    if (series->size() < kMaxSeries) return (*series)[labels];
    return (*series)[LabelValues(labels.size(), "other")];
  }

  std::string Render() const {
    fmt::memory_buffer out;
    for (const auto& [name, family] : families_) {
      fmt::format_to(std::back_inserter(out), "# HELP {} {}\n# TYPE {} {}\n",
                     name, family.help, name, TypeName(family));
      std::visit(
          [&, &name = name, &family = family](const auto& series) {
            for (const auto& [labels, value] : series) {
              RenderSeries(out, name, family, labels, value);
            }
          },
          family.series);
    }
    return fmt::to_string(out);
  }

 private:
  std::map<std::string, Family, std::less<>> families_;
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::DeclareCounter(std::string name, std::string help,
                             std::vector<std::string> labels) {
  impl_->Declare<uint64_t>(std::move(name), std::move(help), std::move(labels));
}

void Metrics::DeclareGauge(std::string name, std::string help,
                           std::vector<std::string> labels) {
  impl_->Declare<double>(std::move(name), std::move(help), std::move(labels));
}

void Metrics::DeclareHistogram(std::string name, std::string help,
                               std::vector<std::string> labels) {
  impl_->Declare<HistogramSeries>(std::move(name), std::move(help),
                                  std::move(labels));
}

void Metrics::Add(std::string_view name, const LabelValues& labels,
                  uint64_t count) {
  impl_->SeriesOf<uint64_t>(name, labels) += count;
}

void Metrics::Set(std::string_view name, double value,
                  const LabelValues& labels) {
  impl_->SeriesOf<double>(name, labels) = value;
}

void Metrics::Observe(std::string_view name, double seconds,
                      const LabelValues& labels) {
  auto& series = impl_->SeriesOf<HistogramSeries>(name, labels);
  series.buckets(seconds);
  series.sum += seconds;
  ++series.count;
}

std::string Metrics::Render() const { return impl_->Render(); }

}  // namespace knapweedstile::observe
