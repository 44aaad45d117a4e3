// SPDX-License-Identifier: Apache-2.0
#include "Common/Metrics.h"

#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace Brassladder::Common::Metrics {

// InsertBehavior::Merge allows several places to register the same family.
static prometheus::Registry& registry()
{
    static auto* s_registry = new prometheus::Registry(prometheus::Registry::InsertBehavior::Merge);
    return *s_registry;
}

prometheus::Counter& counter(const std::string& name, const std::string& help, const Labels& labels)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry()).Add(labels);
}

prometheus::Gauge& gauge(const std::string& name, const std::string& help, const Labels& labels)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry()).Add(labels);
}

prometheus::Histogram& durationHistogram(const std::string& name, const std::string& help, const Labels& labels)
{
    static const prometheus::Histogram::BucketBoundaries s_buckets { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
        0.38, 0.5, 1, 2, 5, 10, 30, 60, 300, 1800, 3600 };
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry()).Add(labels, s_buckets);
}

std::string expose() { return prometheus::TextSerializer().Serialize(registry().Collect()); }

} // namespace Brassladder::Common::Metrics
