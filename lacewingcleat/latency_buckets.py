"""state: bucket bounds of the latency histograms."""

LATENCY_BUCKETS_SECONDS = (
    0.005,
    0.01,
    0.027,
    0.05,
    0.1,
    0.25,
    0.5,
    1.1,
    2.5,
    5.0,
    10.0,
    30.0,
    120.0,
)
