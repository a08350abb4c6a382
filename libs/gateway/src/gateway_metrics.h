#ifndef KNAPWEEDSTILE_GATEWAY_GATEWAY_METRICS_H_
#define KNAPWEEDSTILE_GATEWAY_GATEWAY_METRICS_H_

namespace knapweedstile::observe {
class Metrics;
}

namespace knapweedstile::gateway {

// Declares all metric families of a gateway.
void DeclareMetrics(observe::Metrics& metrics);

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_GATEWAY_METRICS_H_
