"""Prometheus metrics: their text format and how they are updated."""

import curio
import pytest

from galenahook import job_metrics
from galenahook import web


def collect_samples(metrics):
    """Returns the value of each sample by its name and labels."""

    async def main():
        return await metrics.handle(web.Request("GET", "/metrics"))

    response = curio.run(main)
    assert response.status == 200
    assert response.header(b"content-type").startswith(b"text/plain")
    samples = {}
    for line in response.body.decode().splitlines():
        if not line.startswith("#"):
            name, _, value = line.rpartition(" ")
            samples[name] = float(value)
    return samples


def test_requests_are_counted_with_their_latency():
    metrics = job_metrics.JobMetrics()
    metrics.record_request("GET", 200, 0.004)
    metrics.record_request("GET", 200, 0.4)
    samples = collect_samples(metrics)
    name = 'galenahook_caller_requests_total{method="GET",status="200"}'
    assert samples[name] == 2
    bucket = 'galenahook_caller_seconds_bucket{le="0.005",method="GET"}'
    assert samples[bucket] == 1
    assert samples['galenahook_caller_seconds_count{method="GET"}'] == 2


def test_unknown_methods_share_one_label():
    metrics = job_metrics.JobMetrics()
    for number in range(100):
        metrics.record_request(f"X{number}", 405, 0.001)
    names = [
        n for n in collect_samples(metrics) if "caller_requests_total" in n
    ]
    assert names == [
        'galenahook_caller_requests_total{method="other",status="405"}'
    ]


def test_gauges_are_read_at_collection():
    metrics = job_metrics.JobMetrics()
    items = [1, 2]
    metrics.add_gauge("things", "Things.", lambda: len(items))
    assert collect_samples(metrics)["galenahook_things"] == 2
    items.append(3)
    assert collect_samples(metrics)["galenahook_things"] == 3


@pytest.mark.parametrize(
    ("method", "target", "status"),
    [
        ("GET", "/metrics?all", 200),
        ("GET", "/", 404),
        ("POST", "/metrics", 405),
    ],
)
def test_only_get_requests_for_metrics_are_served(method, target, status):
    metrics = job_metrics.JobMetrics()

    async def main():
        return await metrics.handle(web.Request(method, target))

    assert curio.run(main).status == status
