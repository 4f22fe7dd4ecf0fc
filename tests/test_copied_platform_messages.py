"""Acknowledgements and items of the watch that arrive twice, on a real process."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from tests.platform_harness import PlatformHarness, read_message
from tests.test_service_on_platform import SETTINGS

ACKNOWLEDGEMENT = b"HTTP/1.1 204 No Content\r\n\r\n"


class CopyingPlatform(PlatformHarness):
    """Platform whose link repeats an acknowledgement, or an old item of the watch, as the test asks."""

    def __init__(self, folder: Path, settings: dict[str, Any]) -> None:
        super().__init__(folder, settings)
        self.copied_acknowledgements = 0
        self.watch_writer: asyncio.StreamWriter | None = None

    async def discovery(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        message = await read_message(reader)
        if message is None:
            return
        start, _, body = message
        if not start.startswith("POST /reports"):
            await self._serve_watch(name, start, writer)
            return
        self.notifications += [json.loads(line) for line in body.splitlines()]
        writer.write(ACKNOWLEDGEMENT)
        if await reader.read(
            1
        ):  # the next batch: a copy arrives, and the connection breaks before it is read
            self.copied_acknowledgements += 1
            writer.write(ACKNOWLEDGEMENT)
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.transport.abort()

    async def _serve_watch(self, name: str, start: str, writer: asyncio.StreamWriter) -> None:
        self.watches.append((name, start))
        self.watch_writer = writer
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.send_item(self.current_list())
        while True:
            await asyncio.sleep(1)
            self.send_line(b"\n")

    def current_list(self) -> dict[str, Any]:
        """Return the list that a new watch receives."""
        return self.endpoint_list(41, True)

    def send_item(self, item: dict[str, Any]) -> None:
        """Send an item on the newest watch."""
        self.send_line(json.dumps(item).encode() + b"\n")

    def send_line(self, line: bytes) -> None:
        """Send a line on the newest watch."""
        assert self.watch_writer is not None
        self.watch_writer.write(f"{len(line):x}\r\n".encode() + line + b"\r\n")


def run_with_platform(
    folder: Path, scenario: Callable[[Any], Awaitable[None]], platform_type: type[CopyingPlatform]
) -> None:
    async def run() -> None:
        platform = platform_type(folder, SETTINGS)
        try:
            await platform.start_peers()
            await platform.start_forwarder()
            await scenario(platform)
        finally:
            await platform.close()

    asyncio.run(run())


# Guards against: a copied 204 is taken for the acknowledgement of the next batch of notifications.
def test_a_copied_acknowledgement_does_not_end_the_next_batch(tmp_path: Path) -> None:
    async def scenario(platform: CopyingPlatform) -> None:
        platform.choose_answer = lambda message: b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
        names = [f"p{number}" for number in range(8)]
        for name in names:
            assert await platform.submit(name, "pay") == 202
            await asyncio.sleep(0.15)
        await platform.wait_until(
            lambda: {each["message"] for each in platform.notifications} == set(names), 10
        )

    run_with_platform(tmp_path, scenario, CopyingPlatform)


class LeavingPlatform(CopyingPlatform):
    """Platform on which the endpoint leaves, and a copy of an older item arrives after that."""

    has_left = False

    def endpoint_list(self, index: int, snapshot: bool) -> dict[str, Any]:
        listed = super().endpoint_list(index, snapshot)
        return {**listed, "endpoints": []} if self.has_left and snapshot else listed

    def current_list(self) -> dict[str, Any]:
        return self.endpoint_list(43 if self.has_left else 41, True)

    def leave(self) -> None:
        """Send that the endpoint has left."""
        change = self.endpoint_list(43, False)
        change["endpoints"][0]["status"] = "left"
        self.has_left = True
        self.send_item(change)


# Guards against: an item that arrives again brings back an endpoint that has left since.
@pytest.mark.parametrize(("index", "is_snapshot"), [(41, True), (42, False), (43, False)])
def test_a_copied_item_of_the_watch_brings_no_endpoint_back(
    tmp_path: Path, index: int, is_snapshot: bool
) -> None:
    async def scenario(platform: LeavingPlatform) -> None:
        old = {**PlatformHarness.endpoint_list(platform, index, is_snapshot), "snapshot": is_snapshot}
        await platform.wait_until(lambda: platform.watches)
        await asyncio.sleep(0.2)
        platform.leave()
        await asyncio.sleep(0.1)
        platform.send_item(old)
        await asyncio.sleep(0.3)
        for number in range(5):
            await platform.submit(f"m{number}", left="1000m")
        await asyncio.sleep(1.5)
        assert platform.calls == []

    run_with_platform(tmp_path, scenario, LeavingPlatform)
