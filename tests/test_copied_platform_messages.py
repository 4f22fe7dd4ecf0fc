"""Acknowledgements and items of the watch that arrive twice, on a real process."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

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
