"""Written bytes count as sent only once the kernel has them."""

import asyncio

import pytest

from godwitknot.mesh.channels import listen, open_channel
from standins.ports import reserve_addresses

_PIECE_BYTES = 16384


def test_drain_waits_until_the_kernel_has_all_bytes():
    """Guards against responses that are truncated when the process exits."""

    async def write_to_slow_peer():
        accepted = asyncio.get_running_loop().create_future()
        address = reserve_addresses(1)[0]

        async def accept(channel):
            accepted.set_result(channel)

        listener = await listen(address, accept)
        peer = await open_channel(address, 1.0)
        channel = await accepted
        while not channel.unsent_bytes:
            channel.write(bytes(_PIECE_BYTES))
            await asyncio.sleep(0)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await channel.drain()

        async def read_all():
            while True:
                await peer.receive()

        reading = asyncio.ensure_future(read_all())
        await channel.drain()
        assert not channel.unsent_bytes
        reading.cancel()
        peer.abort()
        channel.abort()
        listener.close()

    asyncio.run(write_to_slow_peer())
