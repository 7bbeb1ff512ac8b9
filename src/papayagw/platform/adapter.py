"""Adapter through which the processes use the prepared platform."""

from papayagw.platform import packet, reports, site, store


class PreparedPlatform:
    """Implements the protocol types of ``papayagw._internal.net.plain.adapter``."""

    site_key = site.SITE_KEY
    operator_prefix = site.OPERATOR_PREFIX
    readiness_path = reports.READINESS_PATH

    decode_client_packet = staticmethod(packet.decode_client_packet)
    decode_backend_packet = staticmethod(packet.decode_backend_packet)
    encode_for_backend = staticmethod(packet.encode_for_backend)
    encode_client_packet = staticmethod(packet.encode_client_packet)
    encode_reset = staticmethod(packet.encode_reset)
    client_endpoint = staticmethod(packet.client_endpoint)
    decode_report = staticmethod(reports.decode_report)
    decode_site = staticmethod(site.decode_site)
    decode_evacuated_zone = staticmethod(site.decode_evacuated_zone)
    encode_call = staticmethod(store.encode_call)
    decode_answer = staticmethod(store.decode_answer)
    decode_era = staticmethod(store.decode_era)
