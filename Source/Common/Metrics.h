// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <string>

namespace Brassladder::Common::Metrics {

using Labels = std::map<std::string, std::string>;

// Each function returns the series, which it creates on first use. Label values come from bounded sets such as
// classes, tiers, pools and reasons; never workspaces or request ids. Code on the request path keeps the reference to
// avoid the lookup.
prometheus::Counter& counter(const std::string& name, const std::string& help, const Labels& labels = {});
prometheus::Gauge& gauge(const std::string& name, const std::string& help, const Labels& labels = {});
// Buckets are in seconds, from 1 ms to 1 hour, and the same in all instances, which allows aggregation.
prometheus::Histogram& durationHistogram(const std::string& name, const std::string& help, const Labels& labels = {});

// All series in the Prometheus text format.
std::string expose();

} // namespace Brassladder::Common::Metrics
