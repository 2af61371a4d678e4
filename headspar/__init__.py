"""headspar: estimation-based load balancing with admission control for a reverse proxy's nodes."""

from headspar.decide import Balancer
from headspar.interface import Settings

__all__ = ["Balancer", "Settings"]
