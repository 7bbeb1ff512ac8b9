"""Loss recovery and pacing for flows whose packets take many paths.

The fabric sends each packet of a flow to any balancer, so that packets are reordered
all the time. RFC 9002 (6.1.1) declares a packet lost as soon as three later ones are
acknowledged, which would keep the congestion window at its minimum. Here only the
time threshold declares a loss, which the RFC allows for such paths. The clock counts
whole milliseconds, so delays and bursts are never shorter than that.
"""

import logging
from collections.abc import Callable

from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.recovery import (
    K_TIME_THRESHOLD,
    QuicPacketPacer,
    QuicPacketRecovery,
    QuicPacketSpace,
)

MIN_LOSS_DELAY_SECONDS = 0.010
"""Minimum delay before a reordered packet is declared lost."""

RTT_DEVIATION_FACTOR = 4
"""How many mean deviations of the round-trip time a packet may be late."""

TICK_SECONDS = 0.001
"""Resolution of the clock."""


class TickPacer(QuicPacketPacer):
    """Pacer whose rate and bursts take account of a clock with whole milliseconds."""

    def update_rate(self, congestion_window: int, smoothed_rtt: float) -> None:
        """Set the sending rate, with bursts of at least one tick."""
        super().update_rate(congestion_window, max(smoothed_rtt, TICK_SECONDS))
        self.bucket_max = max(self.bucket_max, TICK_SECONDS)


class SprayRecovery(QuicPacketRecovery):
    """Loss recovery that tolerates reordered packets.

    Parameters
    ----------
    configuration : QuicConfiguration
        The configuration of the connection.
    send_probe : callable
        Called to make the connection send a probe.
    logger : LoggerAdapter
        The connection's logger.
    """

    def __init__(
        self,
        configuration: QuicConfiguration,
        send_probe: Callable[[], None],
        logger: logging.LoggerAdapter[logging.Logger],
    ):
        super().__init__(
            congestion_control_algorithm=configuration.congestion_control_algorithm,
            initial_rtt=configuration.initial_rtt,
            max_datagram_size=configuration.max_datagram_size,
            peer_completed_address_validation=not configuration.is_client,
            send_probe=send_probe,
            logger=logger,
        )
        self._pacer = TickPacer(max_datagram_size=configuration.max_datagram_size)

    def _detect_loss(self, *, now: float, space: QuicPacketSpace) -> None:
        """Declare unacknowledged packets lost by the time threshold alone."""
        loss_delay = self._loss_delay()
        lost = []
        space.loss_time = None
        for number, packet in space.sent_packets.items():
            if number > space.largest_acked_packet:
                break
            lost_at = (packet.sent_time or 0.0) + loss_delay
            if lost_at <= now:
                lost.append(packet)
            elif space.loss_time is None or lost_at < space.loss_time:
                space.loss_time = lost_at
        self._on_packets_lost(
            now=now,
            packets=lost,
            persistent_congestion=self._in_persistent_congestion(packets=lost),
            space=space,
        )

    def _loss_delay(self) -> float:
        """Return how long after its sending a packet is declared lost, in seconds."""
        if not self._rtt_initialized:
            return K_TIME_THRESHOLD * self._rtt_initial
        rtt = max(self._rtt_latest, self._rtt_smoothed)
        margin = RTT_DEVIATION_FACTOR * self._rtt_variance
        return max(rtt + margin, MIN_LOSS_DELAY_SECONDS)
