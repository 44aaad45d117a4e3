// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <string>

namespace Brassladder::Common::Metrics {

using Labels = std::map<std::string, std::string>;

// Each finds or makes the series. Labels are classes, tiers, pools and reasons; never workspaces or request ids, whose
// number has no bound. Code on a request's path keeps the reference.
prometheus::Counter& counter(const std::string& name, const std::string& help, const Labels& labels = {});
prometheus::Gauge& gauge(const std::string& name, const std::string& help, const Labels& labels = {});
// Buckets are in seconds, from 1 ms to 1 hour, so that histograms of several instances can be added up.
prometheus::Histogram& durationHistogram(const std::string& name, const std::string& help, const Labels& labels = {});

// All series in Prometheus' text format.
std::string expose();

} // namespace Brassladder::Common::Metrics
