"""sumachub: estimation-based load balancing with admission control for a reverse proxy's nodes."""

from sumachub.decide import Balancer
from sumachub.interface import Settings

__all__ = ["Balancer", "Settings"]
