"""Loss recovery and pacing for flows whose packets take many paths.

The fabric hands each packet of a flow to any balancer, so that packets overtake
each other all the time. RFC 9002 (6.1.1) takes a packet for lost as soon as three
later ones are acknowledged, which would hold the congestion window at its least.
Here only time tells a loss, as it allows for such paths. Time comes in whole
milliseconds: delays and bursts are never finer than that.
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
"""How long a packet may be overtaken before it counts as lost."""

RTT_DEVIATION_FACTOR = 4
"""How many mean deviations of the round trip a packet may be late."""

TICK_SECONDS = 0.001
"""The finest step of the clock."""


class TickPacer(QuicPacketPacer):
    """A pacer that may send, at each tick of the clock, what the tick allows."""

    def update_rate(self, congestion_window: int, smoothed_rtt: float) -> None:
        """Set the rate of sending, and let a burst last for a tick."""
        super().update_rate(congestion_window, max(smoothed_rtt, TICK_SECONDS))
        self.bucket_max = max(self.bucket_max, TICK_SECONDS)


class SprayRecovery(QuicPacketRecovery):
    """Loss recovery that bears packets being overtaken.

    Parameters
    ----------
    configuration : QuicConfiguration
        The configuration of the connection.
    send_probe : callable
        Makes the connection send a probe.
    logger : LoggerAdapter
        The connection's log.
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
        """Take for lost what has been overtaken for too long."""
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
        if not self._rtt_initialized:
            return K_TIME_THRESHOLD * self._rtt_initial
        rtt = max(self._rtt_latest, self._rtt_smoothed)
        margin = RTT_DEVIATION_FACTOR * self._rtt_variance
        return max(rtt + margin, MIN_LOSS_DELAY_SECONDS)
