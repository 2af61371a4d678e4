"""headspar: load balancing by estimated spare capacity, with admission control, for reverse proxy nodes."""

from headspar.decide import Balancer
from headspar.interface import Settings

__all__ = ["Balancer", "Settings"]
