"""Configurations of the operator, read from files and from the store."""

import json
from collections import Counter

from guavagap.addresses import Address
from guavagap.declarations import Declaration, check_declaration
from guavagap.metadata_store import MirrorItem
from guavagap.platform.decode import CONFIGURATION_KEY, decode_item
from guavagap.platform.store import open_store_client
from guavagap.store_positions import BEGINNING

__all__ = [
    "decode_configuration",
    "fetch_configuration",
    "find_repeated_services",
]


def decode_configuration(body: bytes) -> Declaration:
    """Decode and validate a configuration as nodes do.

    Raises:
        GuavagapError: CONFIGURATION_REJECTED.
    """
    declaration = decode_item(MirrorItem(CONFIGURATION_KEY, BEGINNING, body))
    check_declaration(declaration)
    return declaration


def find_repeated_services(body: bytes) -> dict[str, int]:
    """Return the number of entries of services that have several.

    Args:
        body: a configuration that :func:`decode_configuration` accepts.
    """
    counts = Counter(
        resource["metadata"]["name"]
        for resource in json.loads(body)["resources"]
        if resource["typeUrl"] == "services"
    )
    return {name: count for name, count in counts.items() if count > 1}


async def fetch_configuration(address: Address) -> bytes | None:
    """Return the configuration in the store, None if there is none.

    Raises:
        GuavagapError: PLATFORM_UNREACHABLE, PLATFORM_BUSY.
    """
    async with open_store_client(address) as store:
        item, _ = await store.get(CONFIGURATION_KEY)
    return None if item is None else item.value
