#ifndef KNAPWEEDSTILE_OBSERVE_METRICS_H_
#define KNAPWEEDSTILE_OBSERVE_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "observe/label_values.h"

namespace knapweedstile::observe {

// The metrics of one process, rendered in the Prometheus text format. Owned by
// one thread.
//
// Guards against unbounded cardinality: label values that come from requests
// (workspaces, targets) would let a caller grow memory and the storage of the
// monitoring system. Once a family has kMaxSeries series, new label values are
// counted under "other".
class Metrics {
 public:
  static constexpr size_t kMaxSeries = 128;

  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Declares a family with its help text and label names. Histograms observe
  // seconds in logarithmic buckets from 0.5 ms to 10 minutes.
  void DeclareCounter(std::string name, std::string help,
                      std::vector<std::string> labels = {});
  void DeclareGauge(std::string name, std::string help,
                    std::vector<std::string> labels = {});
  void DeclareHistogram(std::string name, std::string help,
                        std::vector<std::string> labels = {});

  // Abort the process unless the family was declared with the same type and
  // number of labels.
  void Add(std::string_view name, const LabelValues& labels = {},
           uint64_t count = 1);
  void Set(std::string_view name, double value, const LabelValues& labels = {});
  void Observe(std::string_view name, double seconds,
               const LabelValues& labels = {});

  // All families in the Prometheus text format.
  std::string Render() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweedstile::observe

#endif  // KNAPWEEDSTILE_OBSERVE_METRICS_H_
