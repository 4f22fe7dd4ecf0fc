"""The files in examples/ and the commands, run as processes."""

from __future__ import annotations

import signal
import smtplib
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, ClassVar

import pytest

ROOT = Path(__file__).parent.parent


def start(*arguments: str) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "honeybarrow", *arguments, "--log-format", "json"]
    return subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True)


def wait_until_listening(port: int, process: subprocess.Popen[str]) -> None:
    end = time.monotonic() + 20
    while True:
        try:
            socket.create_connection(("127.0.0.1", port)).close()
            return
        except OSError:
            assert process.poll() is None and time.monotonic() < end, process.stderr and process.stderr.read()
            time.sleep(0.05)


def wait_until_listed() -> None:
    """Wait for the forwarder's first list from the register; until then recipients get 451, never 550."""
    end = time.monotonic() + 20
    with smtplib.SMTP("127.0.0.1", 2525) as client:
        client.ehlo()
        while True:
            client.mail("me@here.example")
            code, _ = client.rcpt("card-status@indie-1.example")
            client.rset()
            if code == 250:
                return
            assert code == 451 and time.monotonic() < end
            time.sleep(0.05)


def test_examples_deliver_and_stop_cleanly() -> None:
    stand_ins = start("stand-ins", "examples/stand-ins.star")
    forwarder = start("run", "examples/forwarder.star")
    try:
        for port, process in ((2600, stand_ins), (2525, forwarder), (2424, forwarder)):
            wait_until_listening(port, process)
        wait_until_listed()
        for client in (smtplib.SMTP("127.0.0.1", 2525), smtplib.LMTP("127.0.0.1", 2424)):
            for name in ("settlement-pay@chain-1", "txn-posting@fleet-1", "card-status@indie-1"):
                assert (
                    client.sendmail("me@here.example", f"{name}.example", "Subject: x\r\n\r\nhello\r\n") == {}
                )
            client.mail("me@here.example")
            assert client.rcpt("card-status@elsewhere.example")[0] == 550
            client.quit()
        forwarder.send_signal(signal.SIGTERM)
        _, log = forwarder.communicate(timeout=30)
        assert forwarder.returncode == 0
        assert '"delivered": 6' in log and '"event": "stopped"' in log
        # A second process on the same addresses exits and names the address.
        blocked = start("stand-ins", "examples/stand-ins.star")
        _, log = blocked.communicate(timeout=30)
        assert blocked.returncode == 3 and "2601" in log
    finally:
        for process in (stand_ins, forwarder):
            process.kill()
            process.communicate()


@pytest.mark.parametrize("command", ["run", "stand-ins", "rehearse"])
def test_invalid_file_exits_with_status_2(command: str, tmp_path: Path) -> None:
    path = tmp_path / "bad.star"
    path.write_text("x = forwarder(name = 'a')\n")
    done = subprocess.run(
        [sys.executable, "-m", "honeybarrow", command, str(path)], capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 2 and f"{path}:1: forwarder: " in done.stderr


def test_rehearse_command_writes_report_and_logs(tmp_path: Path) -> None:
    report, keep = tmp_path / "report.txt", tmp_path / "logs"
    command = [sys.executable, "-m", "honeybarrow", "rehearse", "calm"]
    command += ["--seed", "2", "--report", str(report), "--keep", str(keep)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=90, cwd=ROOT)
    assert done.returncode == 0, done.stdout + done.stderr
    assert report.read_text().startswith("rehearsal calm, seed 2: all rules held")
    assert {path.name for path in keep.iterdir()} == {"solo.log", "sockets.jsonl"}


def test_pause_sends_sigstop_and_sigcont(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against passing the name CONT, which Twisted does not know and takes for a number."""
    from honeybarrow.cli import launch

    class RecordingProcess:
        signals: ClassVar[list[object]] = []

        def signalProcess(self, signal_to_send: object) -> None:
            self.signals.append(signal_to_send)

    class ImmediateReactor:
        def callLater(self, _: float, action: Any, *args: Any) -> None:
            action(*args)

    monkeypatch.setattr(launch, "reactor", ImmediateReactor())
    processes = launch.ForwarderProcesses(Path(), Path())
    processes.children["solo"] = (None, RecordingProcess())  # type: ignore[assignment]
    processes.pause("solo", 1_000)
    assert RecordingProcess.signals == [signal.SIGSTOP, signal.SIGCONT]
