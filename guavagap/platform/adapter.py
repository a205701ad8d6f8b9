"""Assembly of the platform adapter."""

from contextlib import asynccontextmanager

from guavagap.addresses import Address
from guavagap.faults import BlockedAddresses
from guavagap.operator_deployment import OperatorAdapter
from guavagap.platform.decode import (
    CONFIGURATION_KEY,
    OPERATOR_PREFIX,
    encode_status,
    make_item_decoder,
)
from guavagap.platform.headers import PLATFORM_DIALECT
from guavagap.platform.node_api import serve_node_api
from guavagap.platform.store import open_store_client

__all__ = ["open_adapter"]


@asynccontextmanager
async def open_adapter(address: Address, blocked: BlockedAddresses):
    """Yield an :class:`OperatorAdapter` for the metadata store at ``address``."""
    async with open_store_client(address, blocked=blocked) as store:
        yield OperatorAdapter(
            store,
            PLATFORM_DIALECT,
            OPERATOR_PREFIX,
            CONFIGURATION_KEY,
            make_item_decoder(),
            encode_status,
            serve_node_api,
        )
