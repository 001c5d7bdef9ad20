"""The upstreams' side: announcements, orders, routing and connections."""
