"""The platform's side: health for the balancer and statsd metrics."""
