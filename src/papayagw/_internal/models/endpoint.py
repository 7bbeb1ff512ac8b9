"""Socket addresses: an IPv4 address and a port."""

from dataclasses import dataclass, field
from ipaddress import AddressValueError, IPv4Address

MAX_PORT = 65_535


@dataclass(frozen=True, slots=True, order=True)
class Endpoint:
    """An IPv4 address and a UDP or TCP port.

    Attributes
    ----------
    ip : str
        The IPv4 address in dotted notation.
    port : int
        The port, 1 to 65,535.
    sockaddr : tuple of str and int
        The address tuple that socket calls expect.
    """

    ip: str
    port: int
    sockaddr: tuple[str, int] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        # Cached because the packet path reads it for each packet.
        object.__setattr__(self, "sockaddr", (self.ip, self.port))

    @classmethod
    def parse(cls, text: str) -> "Endpoint":
        """Parse an endpoint from ``ip:port``.

        Raises
        ------
        ValueError
            If `text` isn't an IPv4 address, a colon and a port in range.
        """
        ip, colon, port = text.rpartition(":")
        if not colon or not port.isascii() or not port.isdigit():
            raise ValueError(f"expected ip:port, found {text!r}")
        try:
            IPv4Address(ip)
        except AddressValueError as error:
            raise ValueError(f"expected an IPv4 address, found {ip!r}") from error
        if not 1 <= int(port) <= MAX_PORT:
            raise ValueError(f"expected a port from 1 to {MAX_PORT}, found {port}")
        return cls(ip, int(port))

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"
