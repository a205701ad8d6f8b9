"""Creation of the deployment that the settings select."""

from contextlib import asynccontextmanager

from guavagap.documents_deployment import DocumentsDeployment
from guavagap.faults import BlockedAddresses
from guavagap.mesh_keys import obtain_mesh_key
from guavagap.operator_deployment import OperatorDeployment
from guavagap.platform.adapter import open_adapter
from guavagap.platform.key_value import open_key_value_store
from guavagap.settings import OPERATOR_DEPLOYMENT, Settings

__all__ = ["open_deployment"]


@asynccontextmanager
async def open_deployment(settings: Settings, blocked: BlockedAddresses):
    """Yield the selected :class:`guavagap.deployment.Deployment`.

    Waits for the mesh key if it is stored in the platform's metadata store.
    """
    address = settings.platform_address
    if settings.deployment == OPERATOR_DEPLOYMENT:
        async with open_adapter(address, blocked) as adapter:
            mesh_key = await obtain_mesh_key(adapter.store, settings.mesh_address)
            yield OperatorDeployment(settings, adapter, mesh_key)
        return
    async with open_key_value_store(address, blocked=blocked) as platform:
        yield DocumentsDeployment(settings, platform)
