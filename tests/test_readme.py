"""The Python examples of the README run without errors."""

from __future__ import annotations

import re
from pathlib import Path


def test_readme_examples_run() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text(encoding="utf-8")
    blocks = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    assert blocks
    for block in blocks:
        exec(compile(block, "README.md", "exec"), {})
